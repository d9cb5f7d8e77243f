import * as fs from 'node:fs';
import * as module from 'node:module';
import * as path from 'node:path';
import * as vm from 'node:vm';

/**
 * Runs the bundled daemon with the V8 code cache that the build stores beside it. Compilation
 * takes a third of the startup time, and after a restart of the whole fleet callers wait for it.
 * With `--write-cache`, writes the code cache.
 */

const BUNDLE_FILE = path.join(__dirname, 'edge.js');
const CACHE_FILE = `${BUNDLE_FILE}.cache`;

// The bundle handles this signal. Until it runs, the default action would end the process.
process.on('SIGHUP', () => undefined);

const isWritingCache = process.argv.includes('--write-cache');
const source = fs.readFileSync(BUNDLE_FILE, 'utf8');
const cachedData =
  !isWritingCache && fs.existsSync(CACHE_FILE) ? fs.readFileSync(CACHE_FILE) : undefined;
const script = new vm.Script(module.wrap(source), { filename: BUNDLE_FILE, cachedData });

if (script.cachedDataRejected === true) {
  process.stderr.write(`${CACHE_FILE} was made by another version of Node.js and is not used\n`);
}
const run = script.runInThisContext() as (...parameters: readonly unknown[]) => void;
run({}, require, { exports: {} }, BUNDLE_FILE, __dirname);
if (isWritingCache) fs.writeFileSync(CACHE_FILE, script.createCachedData());
