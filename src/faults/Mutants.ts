/** A source change that disables a mechanism. A fault test must detect it. */
export interface IMutant {
  readonly name: string;
  /** File that is changed, relative to `src`. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  /** Test file that must fail, relative to `src/faults`. */
  readonly test: string;
}

export const MUTANTS: readonly IMutant[] = [
  {
    name: 'truncated answers are forwarded',
    file: 'node/dispatch/AttemptHandler.ts',
    find: "    const reason = this.status === 0 ? 'connection-lost' : 'answer-truncated';",
    replace:
      '    if (this.status !== 0) { this.onResponseEnd(); return; }\n    const reason = "connection-lost" as const;',
    test: 'CompleteAnswers.test.ts',
  },
  {
    name: 'the deadline always counts as not run',
    file: 'common/call/Failures.ts',
    find: 'if (this.unknown !== undefined || this.failedAnswer !== undefined) {',
    replace: 'if (false as boolean) {',
    test: 'NotRun.test.ts',
  },
  {
    name: 'non-idempotent requests are retried after a loss',
    file: 'common/call/RunningCall.ts',
    find: 'if (this.call.service.idempotent && !isTooLarge) this.retry();',
    replace: 'if (!isTooLarge) this.retry();',
    test: 'AtMostOnce.test.ts',
  },
  {
    name: 'suspect requests are run',
    file: 'common/suspicion/RequestSuspicion.ts',
    find: 'return this.serversLost(fingerprint).length >= this.serversToRefuse;',
    replace: 'return false;',
    test: 'NotRun.test.ts',
  },
  {
    name: 'leaving servers are used',
    file: 'common/call/ServerEligibility.ts',
    find: "if (availability.isLeaving) return 'leaving';",
    replace: '',
    test: 'Leaving.test.ts',
  },
  {
    name: 'a stopping daemon does not wait for the platform balancer',
    file: 'node/Daemon.ts',
    find: 'await this.wait(lagMs);',
    replace: '',
    test: 'GracefulShutdown.test.ts',
  },
  {
    name: 'a stopping daemon does not finish its calls',
    file: 'node/Daemon.ts',
    find: 'await this.finishCalls();',
    replace: '',
    test: 'GracefulShutdown.test.ts',
  },
  {
    name: 'older table versions are accepted',
    file: 'common/table/TableHolder.ts',
    find: 'table.version < active.version',
    replace: 'false as boolean',
    test: 'TableVersions.test.ts',
  },
  {
    name: 'a key is granted to every attempt',
    file: 'common/keys/KeyAuthority.ts',
    find: "return { kind: record.attempt === attempt ? 'granted' : 'in-progress' };",
    replace: "return { kind: 'granted' };",
    test: 'AtMostOnce.test.ts',
  },
  {
    name: 'each daemon spends the whole probe budget',
    file: 'common/probing/ProbeBudget.ts',
    find: 'return Math.floor(budget / this.table.maxDaemons);',
    replace: 'return budget;',
    test: 'ProbeBudget.test.ts',
  },
];

/** Returns the mutant with this name, or undefined if no name is given. */
export function findMutant(name: string | undefined): IMutant | undefined {
  if (name === undefined || name === '') return undefined;
  const mutant = MUTANTS.find((candidate) => candidate.name === name);
  if (mutant === undefined) throw new Error(`unknown mutant "${name}"`);
  return mutant;
}

/** Applies a mutant to its source. Throws if the source does not contain the text to replace. */
export function applyMutant(source: string, mutant: IMutant): string {
  if (!source.includes(mutant.find)) {
    throw new Error(`mutant "${mutant.name}" does not apply to ${mutant.file}`);
  }
  return source.replace(mutant.find, mutant.replace);
}
