import * as commander from 'commander';

import * as models from './Models';
import type * as specTypes from './Types';

const EXIT_VIOLATION = 1;
const EXIT_USAGE = 2;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function describe(event: specTypes.ISpecificationEvent): string {
  const { type, ...details } = event;
  const members = Object.entries(details).map(
    ([name, value]) => `${name}=${JSON.stringify(value)}`,
  );
  return [type, ...members].join(' ');
}

function printResult(
  model: models.IModel,
  result: models.IModelResult,
  elapsedMs: number,
): boolean {
  const { states, steps, depth, truncated, violation } = result;
  print(`${model.name}: ${states} states, ${steps} steps, depth ${depth}, ${elapsedMs} ms`);
  print(`  bounds: ${model.bounds}`);
  if (truncated) print('  INCOMPLETE: the bound on states was reached');
  if (violation === undefined) {
    const verdict = truncated ? 'not refuted' : 'holds';
    model.invariants.forEach((name) => print(`  ${verdict}: ${name}`));
    return !truncated;
  }
  print(`  BROKEN: ${violation.invariant}`);
  violation.events.forEach((event, index) => print(`  ${index + 1}. ${describe(event)}`));
  print(`  last state: ${JSON.stringify(violation.lastState)}`);
  return false;
}

function exploreModel(model: models.IModel, mutant?: string): boolean {
  const startMs = performance.now();
  const result = model.explore(mutant);
  return printResult(model, result, Math.round(performance.now() - startMs));
}

function compareModel(model: models.IModel): boolean {
  const { explorer, graph } = model.compareExplorers();
  const agrees =
    explorer.states === graph.states &&
    explorer.steps === graph.steps &&
    explorer.violation === undefined &&
    graph.broken.length === 0;
  const verdict = agrees ? 'agrees' : 'DIFFERS';
  print(`  xstate graph ${verdict} within small bounds: ${graph.states} states`);
  return agrees;
}

function runAll(): number {
  const results = models.MODELS.map((model) => {
    const holds = exploreModel(model);
    return compareModel(model) && holds;
  });
  return results.every(Boolean) ? 0 : EXIT_VIOLATION;
}

function runMutant(name: string): number {
  const model = models.MODELS.find(({ mutants }) => name in mutants);
  if (model === undefined) {
    process.stderr.write(`unknown mutant "${name}"; use --list-mutants to list the names\n`);
    return EXIT_USAGE;
  }
  print(`mutant ${name}: ${model.mutants[name]}`);
  return exploreModel(model, name) ? 0 : EXIT_VIOLATION;
}

function listMutants(): number {
  models.MODELS.forEach((model) => {
    print(`${model.name}:`);
    Object.entries(model.mutants).forEach(([name, effect]) => print(`  ${name}: ${effect}`));
  });
  return 0;
}

const program = new commander.Command('model')
  .description('Explore the specifications of the core protocols.')
  .option(
    '--mutant <name>',
    'remove one rule; prints a shortest trace and exits with 1 if an invariant is violated',
  )
  .option('--list-mutants', 'list the mutants')
  .action((options: { mutant?: string; listMutants?: boolean }) => {
    if (options.listMutants === true) process.exitCode = listMutants();
    else if (options.mutant !== undefined) process.exitCode = runMutant(options.mutant);
    else process.exitCode = runAll();
  });

program.parse();
