import type * as callTypes from '../call/Types';
import type * as serverState from '../policy/ServerState';
import type * as policyTypes from '../policy/Types';
import type * as tableTypes from '../table/Types';

/** What the scheduler reads of a call. Calls without a deadline are never refused for their time. */
export type ScheduledCall = Pick<callTypes.ICall, 'table' | 'objectiveAtMs'> &
  Partial<Pick<callTypes.ICall, 'deadlineMs' | 'priority' | 'route'>>;

/** What an answer to a call that starts now would be worth: all of it, a part, or nothing. */
export type Standing = 'in-time' | 'late' | 'lost';

/**
 * Why a call is refused. `no-time`: an answer would come after its deadline. `outranked`: the calls
 * before it take up its time at the observed rate. `no-room`: no server had room for as long as it
 * may be held.
 */
export type RefusalCause = 'no-time' | 'outranked' | 'no-room';

/** Refusal of a call for which no server had room. */
export interface IOverload {
  readonly kind: 'overloaded';
  readonly cause: RefusalCause;
  /** Time for which the call was held, in milliseconds. */
  readonly waitedMs: number;
  /** Time after which another daemon may have room, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Result of a selection. */
export type SelectionResult =
  | {
      readonly kind: 'server';
      readonly server: serverState.ServerState;
      /** Expected duration relative to that on an idle server. */
      readonly cost: number;
    }
  /** No server accepts work. */
  | { readonly kind: 'none' }
  | IOverload;

/** Reply of a server to a check; undefined if it has not replied yet. */
export type Reply = policyTypes.CheckReply | undefined;

/** Servers that were checked, with their replies. */
export type CheckedServers = ReadonlyMap<serverState.ServerState, Reply>;

/** Servers of one service. */
export interface IServerSource {
  /** Returns the servers that may be sent a call of this table, except the excluded ones. */
  candidates(
    excluded: ReadonlySet<string>,
    table: tableTypes.ITable | undefined,
  ): serverState.ServerState[];
  /** Whether a server wants no requests now, or is no longer one of the service. */
  isUnavailable(server: serverState.ServerState): boolean;
}

/** Limits in time of a call, in monotonic milliseconds. Infinite where they do not apply. */
export interface ICallTerms {
  /** Rank among the calls of the service: the lower, the more urgent. */
  readonly priority: number;
  /** Expected service time on an idle server, if it is known. */
  readonly workMs: number | undefined;
  readonly enteredAtMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineMs: number;
  /** Latest start of an attempt that meets the objective on an idle server. */
  readonly latestInTimeMs: number;
  /** Whether the call gives way to no other kind, and takes any room in which it is in time. */
  readonly isPlain: boolean;
  /** Time at which the call is refused unless a server with room was found. */
  readonly giveUpAtMs: number;
}
