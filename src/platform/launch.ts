import * as fs from 'node:fs';
import * as module from 'node:module';
import * as path from 'node:path';
import * as vm from 'node:vm';

/**
 * Runs the bundled daemon with the compiled code that the build has stored beside it. Compiling
 * takes a third of the start, and after a restart of the whole fleet callers wait for it.
 * With `--write-cache`, stores the compiled code.
 */

const BUNDLE = path.join(__dirname, 'edge.js');
const CACHE = `${BUNDLE}.cache`;

const isWriting = process.argv.includes('--write-cache');
const source = fs.readFileSync(BUNDLE, 'utf8');
const cachedData = !isWriting && fs.existsSync(CACHE) ? fs.readFileSync(CACHE) : undefined;
const script = new vm.Script(module.wrap(source), { filename: BUNDLE, cachedData });

if (script.cachedDataRejected === true) {
  process.stderr.write(`${CACHE} was made by another version of Node.js and is not used\n`);
}
const run = script.runInThisContext() as (...parameters: readonly unknown[]) => void;
run({}, require, { exports: {} }, BUNDLE, __dirname);
if (isWriting) fs.writeFileSync(CACHE, script.createCachedData());
