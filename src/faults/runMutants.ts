import * as childProcess from '../standin/ChildProcess';
import * as mutants from './Mutants';

/**
 * Runs the fault test of each mutant, which must fail. The mutant is applied to a separate build;
 * the sources do not change.
 */
async function main(): Promise<void> {
  let survivors = 0;
  for (const mutant of mutants.MUTANTS) {
    const parameters = ['node_modules/jest/bin/jest.js', `src/faults/${mutant.test}`];
    const jest = new childProcess.ChildProcess(parameters, { FAULT_MUTANT: mutant.name });
    const code = await jest.exited;
    const applied = !jest.lines.some((line) => line.includes('does not apply'));
    const failed = jest.lines.find((line) => line.trim().startsWith('✕')) ?? '';
    const detected = code !== 0 && applied;
    if (!detected) survivors += 1;
    const verdict = detected ? 'detected' : 'NOT DETECTED';
    process.stdout.write(`${verdict}: ${mutant.name} (${mutant.test}) ${failed.trim()}\n`);
  }
  process.stdout.write(`${JSON.stringify({ mutants: mutants.MUTANTS.length, survivors })}\n`);
  process.exitCode = survivors === 0 ? 0 : 1;
}

main().catch((error: Error) => {
  process.stderr.write(`${error.stack ?? error.message}\n`);
  process.exitCode = 1;
});
