import type * as soakTypes from './Types';

/** Time after a statement from which on a daemon must follow it, in milliseconds. */
const LEAVING_MS = 2_000;
const PAUSE_MS = 500;

/** Requests that a server may get in a pause that it asked for. */
const REQUESTS_IN_PAUSE = 2;

/** Time after the start of a limit from which on it holds, and window of its count, in milliseconds. */
const LIMIT_MS = 3_000;
const LIMIT_WINDOW_MS = 4_000;

/** Requests in a window: a multiple of what the limit allows, and some more. */
const LIMIT_TOLERANCE = 1.5;
const LIMIT_SLACK = 5;

/** Time after a network fault in which daemons may run calls for each other, in milliseconds. */
const FORWARDING_MS = 2_000;

/** Records of what servers stated, and of the requests that they got. */
export interface IRestraintObservations {
  readonly calls: readonly soakTypes.ICallRecord[];
  readonly arrivals: readonly soakTypes.IArrivalRecord[];
  readonly statements: readonly soakTypes.IStatementRecord[];
  readonly limits: readonly soakTypes.ILimitInterval[];
  readonly faultIntervals: readonly soakTypes.IFaultInterval[];
}

/** Violations of what servers stated. */
export interface IRestraintViolations {
  readonly requestsToLeaving: readonly soakTypes.IArrivalRecord[];
  readonly disturbedPauses: readonly soakTypes.IStatementRecord[];
  readonly limitOverruns: readonly soakTypes.ILimitInterval[];
}

/** Compares the requests of each daemon with what servers have stated to it. */
class RestraintAudit {
  private readonly callById: ReadonlyMap<string, soakTypes.ICallRecord>;

  public constructor(private readonly observations: IRestraintObservations) {
    this.callById = new Map(observations.calls.map((call) => [call.requestId, call]));
  }

  /** Returns the requests that followed a statement of their server to the same daemon. */
  public arrivalsAfter(
    statement: soakTypes.IStatementRecord,
    delayMs: number,
  ): readonly soakTypes.IArrivalRecord[] {
    const daemon = this.callById.get(statement.requestId)?.daemon;
    return this.observations.arrivals.filter(({ process, requestId, atMs }) => {
      const call = this.callById.get(requestId);
      if (process !== statement.process || call === undefined || call.daemon !== daemon)
        return false;
      const isLater = call.startMs > statement.atMs + delayMs && atMs < statement.untilMs;
      return isLater && !this.isExcused(daemon, statement.atMs, atMs);
    });
  }

  public isOverrun({ process, perSecond, beginMs, endMs }: soakTypes.ILimitInterval): boolean {
    const timesMs = this.observations.arrivals
      .filter((arrival) => arrival.process === process)
      .map(({ atMs }) => atMs)
      .filter((atMs) => atMs >= beginMs + LIMIT_MS && atMs <= endMs);
    const allowed = LIMIT_TOLERANCE * perSecond * (LIMIT_WINDOW_MS / 1_000) + LIMIT_SLACK;
    return timesMs.some((startMs) => {
      const count = timesMs.filter((atMs) => atMs >= startMs && atMs < startMs + LIMIT_WINDOW_MS);
      return count.length > allowed;
    });
  }

  /** Whether a daemon restarted, was paused or may have run calls of others in an interval. */
  private isExcused(daemon: number | undefined, fromMs: number, untilMs: number): boolean {
    return this.observations.faultIntervals.some((fault) => {
      const isOwn = fault.kind.startsWith('daemon-') && fault.componentIndex === daemon;
      const isNetwork = fault.kind === 'network';
      const endMs = fault.endMs + (isNetwork ? FORWARDING_MS : 0);
      return (isOwn || isNetwork) && fault.beginMs <= untilMs && endMs >= fromMs;
    });
  }
}

/** Checks that daemons followed what servers stated to them. */
export function auditRestraints(observations: IRestraintObservations): IRestraintViolations {
  const audit = new RestraintAudit(observations);
  const { statements, limits } = observations;
  const ofKind = (kind: soakTypes.IStatementRecord['kind']) =>
    statements.filter((statement) => statement.kind === kind);
  const late = ofKind('leaving').flatMap((statement) => audit.arrivalsAfter(statement, LEAVING_MS));
  return {
    requestsToLeaving: [...new Set(late)],
    disturbedPauses: ofKind('pause').filter(
      (statement) => audit.arrivalsAfter(statement, PAUSE_MS).length > REQUESTS_IN_PAUSE,
    ),
    limitOverruns: limits.filter((limit) => audit.isOverrun(limit)),
  };
}
