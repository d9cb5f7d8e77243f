import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as swc from '@swc/core';

import * as mutants from './Mutants';

const ROOT = path.join(__dirname, '../..');

const OPTIONS: swc.Options = {
  jsc: { parser: { syntax: 'typescript' }, target: 'es2022' },
  module: { type: 'commonjs', noInterop: true },
};

async function compile(file: string, outputFolder: string, mutant: mutants.IMutant | undefined) {
  const source = await fs.readFile(path.join(ROOT, 'src', file), 'utf8');
  const text = mutant?.file === file ? mutants.applyMutant(source, mutant) : source;
  const { code } = await swc.transform(text, { ...OPTIONS, filename: file });
  const output = path.join(outputFolder, file.replace(/\.ts$/, '.js'));
  await fs.mkdir(path.dirname(output), { recursive: true });
  await fs.writeFile(output, code);
}

/**
 * Compiles the current sources for the processes of a test, so that a test never runs an old
 * build. The environment variable FAULT_MUTANT names a mutant to apply.
 * @returns The folder of the compiled files. The caller removes it.
 */
export async function build(): Promise<string> {
  const mutant = mutants.findMutant(process.env.FAULT_MUTANT);
  const files = await fs.readdir(path.join(ROOT, 'src'), { recursive: true });
  const sources = files.filter((file) => file.endsWith('.ts') && !file.endsWith('.test.ts'));
  await fs.mkdir(path.join(ROOT, 'dist'), { recursive: true });
  const outputFolder = await fs.mkdtemp(path.join(ROOT, 'dist', 'faults-'));
  await Promise.all(sources.map((file) => compile(file, outputFolder, mutant)));
  return outputFolder;
}
