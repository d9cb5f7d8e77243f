import * as directoryProtocol from './DirectoryProtocol';
import * as directorySpecification from './DirectorySpecification';
import * as explorer from './Explorer';
import * as keyProtocol from './KeyProtocol';
import * as keySpecification from './KeySpecification';
import * as probeSpecification from './ProbeSpecification';
import * as restraintSpecification from './RestraintSpecification';
import * as stateGraph from './StateGraph';
import * as tableSpecification from './TableSpecification';
import type * as specTypes from './Types';

/** Result of exploring a model, without the states. */
export interface IModelResult {
  readonly states: number;
  readonly steps: number;
  readonly depth: number;
  readonly truncated: boolean;
  readonly violation: specTypes.IViolation<specTypes.ISpecificationEvent> | undefined;
}

/** A specification with its bounds and mutants, for the command line. */
export interface IModel {
  readonly name: string;
  readonly bounds: string;
  readonly invariants: readonly string[];
  /** Effect of each mutant, by the name of the mutant. */
  readonly mutants: Readonly<Record<string, string>>;
  /** Explores the model, without the rule that `mutant` removes. */
  explore(mutant?: string): IModelResult;
  /** Like `explore`, within smaller bounds that suffice for most mutants. */
  exploreSmall(mutant: string): IModelResult;
  /** Explores the model with both explorers, within bounds that the xstate tools can handle. */
  compareExplorers(): {
    readonly explorer: IModelResult;
    readonly graph: stateGraph.IStateGraph;
  };
}

function makeModel<TState, TEvent extends specTypes.ISpecificationEvent>(options: {
  readonly bounds: string;
  readonly mutants: Readonly<Record<string, string>>;
  readonly build: (mutant?: string) => specTypes.ISpecification<TState, TEvent>;
  readonly buildSmall: (mutant: string) => specTypes.ISpecification<TState, TEvent>;
  readonly buildForComparison: () => specTypes.ISpecification<TState, TEvent>;
}): IModel {
  const { name, invariants } = options.build();
  return {
    name,
    bounds: options.bounds,
    invariants: invariants.map((invariant) => invariant.name),
    mutants: options.mutants,
    explore: (mutant) => explorer.explore(options.build(mutant)),
    exploreSmall: (mutant) => explorer.explore(options.buildSmall(mutant)),
    compareExplorers: () => ({
      explorer: explorer.explore(options.buildForComparison()),
      graph: stateGraph.exploreGraph(options.buildForComparison()),
    }),
  };
}

const SMALL_DIRECTORY_BOUNDS = {
  ...directoryProtocol.DEFAULT_DIRECTORY_BOUNDS,
  maxRevision: 2,
};

const SMALL_TABLE_BOUNDS = { daemons: 2, maxVersion: 1, maxReplacements: 1 };

const SMALL_RESTRAINT_BOUNDS = { daemons: 1, processes: 2, maxRestarts: 1 };

export const MODELS: readonly IModel[] = [
  makeModel({
    bounds: '1 key, 3 attempts, 2 contents, 3 processes, 2 crashes',
    mutants: keyProtocol.KEY_MUTANTS,
    build: (mutant) =>
      keySpecification.keySpecification(mutant as keyProtocol.KeyMutant | undefined),
    buildSmall: (mutant) => keySpecification.keySpecification(mutant as keyProtocol.KeyMutant, 2),
    buildForComparison: () => keySpecification.keySpecification(undefined, 1),
  }),
  makeModel({
    bounds: '2 publishers, 3 versions, 2 daemons, 1 replacement of each',
    mutants: tableSpecification.TABLE_MUTANTS,
    build: (mutant) =>
      new tableSpecification.TableSpecification(
        mutant as tableSpecification.TableMutant | undefined,
      ),
    buildSmall: (mutant) =>
      new tableSpecification.TableSpecification(
        mutant as tableSpecification.TableMutant,
        SMALL_TABLE_BOUNDS,
      ),
    buildForComparison: () =>
      new tableSpecification.TableSpecification(undefined, SMALL_TABLE_BOUNDS),
  }),
  makeModel({
    bounds: '3 daemons with 1 permit each, ticks of 500 ms, unlimited time',
    mutants: probeSpecification.PROBE_MUTANTS,
    build: (mutant) =>
      new probeSpecification.ProbeSpecification(
        mutant as probeSpecification.ProbeMutant | undefined,
      ),
    buildSmall: (mutant) =>
      new probeSpecification.ProbeSpecification(mutant as probeSpecification.ProbeMutant, 2),
    buildForComparison: () => new probeSpecification.ProbeSpecification(undefined, 2),
  }),
  makeModel({
    bounds: '2 daemons, 1 server, 4 revisions, content in transit to 1 daemon',
    mutants: directoryProtocol.DIRECTORY_MUTANTS,
    build: (mutant) =>
      new directorySpecification.DirectorySpecification(
        mutant as directoryProtocol.DirectoryMutant | undefined,
      ),
    buildSmall: (mutant) =>
      new directorySpecification.DirectorySpecification(
        mutant as directoryProtocol.DirectoryMutant,
        SMALL_DIRECTORY_BOUNDS,
      ),
    buildForComparison: () =>
      new directorySpecification.DirectorySpecification(undefined, SMALL_DIRECTORY_BOUNDS),
  }),
  makeModel({
    bounds:
      '2 daemons, 2 processes at one address, pauses of up to 2 ticks, 1 restart of each daemon',
    mutants: restraintSpecification.RESTRAINT_MUTANTS,
    build: (mutant) =>
      new restraintSpecification.RestraintSpecification(
        mutant as restraintSpecification.RestraintMutant | undefined,
      ),
    buildSmall: (mutant) =>
      new restraintSpecification.RestraintSpecification(
        mutant as restraintSpecification.RestraintMutant,
        SMALL_RESTRAINT_BOUNDS,
      ),
    buildForComparison: () =>
      new restraintSpecification.RestraintSpecification(undefined, SMALL_RESTRAINT_BOUNDS),
  }),
];
