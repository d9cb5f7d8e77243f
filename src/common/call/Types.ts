import type * as policyTypes from '../policy/Types';
import type * as schedulingTypes from '../scheduling/Types';
import type * as tableTypes from '../table/Types';

/** Reasons for a refusal that guarantees that no server ran the request. */
export type NotRunKind =
  | 'unknown-service'
  | 'malformed-request'
  /** The header or the body did not arrive completely before its timeout. */
  | 'request-incomplete'
  | 'headers-too-large'
  | 'body-too-large'
  | 'invalid-deadline'
  | 'request-key-missing'
  | 'request-key-invalid'
  | 'request-key-reused'
  | 'call-too-deep'
  | 'not-ready'
  | 'shutting-down'
  | 'overloaded'
  | 'no-backend-server'
  | 'backend-server-refused'
  | 'deadline-before-dispatch'
  | 'already-refused';

/** Reasons for an outcome that leaves open whether the request ran. */
export type UnknownOutcomeKind =
  | 'deadline-exceeded'
  | 'connection-lost'
  | 'answer-truncated'
  | 'answer-too-large'
  | 'attempt-in-progress'
  | 'earlier-outcome-unknown'
  | 'request-key-expired'
  | 'key-issuer-unavailable'
  | 'suspected-crash'
  | 'cancelled-by-caller';

/** Complete answer of a backend server. */
export interface IAnswer {
  readonly status: number;
  /** Alternating lower-case names and values, as received. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Whether the server reports a failure. By default this follows from the status. */
  readonly isFailure?: boolean | undefined;
}

/** Outcome of a call. Exactly one outcome reaches the caller. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly answer: IAnswer; readonly server: string }
  | {
      readonly kind: 'not-run';
      readonly reason: NotRunKind;
      readonly detail: string;
      /** Time after which a server takes the request, in milliseconds, if it is known. */
      readonly retryAfterMs?: number | undefined;
    }
  | {
      readonly kind: 'unknown';
      readonly reason: UnknownOutcomeKind;
      readonly detail: string;
      /** Whether this daemon sent the request to a backend server during this call. */
      readonly dispatched: boolean;
      /** Number of servers to which this daemon sent the request, if it is known. */
      readonly attempts?: number | undefined;
    };

/** Request to run on one of the servers of a service. */
export interface ICall {
  readonly requestId: string;
  readonly service: tableTypes.IServiceRow;
  readonly table: tableTypes.ITable;
  readonly method: string;
  /** Path and query sent to the backend server. */
  readonly path: string;
  /** Alternating lower-case names and values, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Monotonic time of the caller's deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Number of daemons above this one in the call tree; 0 for an outermost call. */
  readonly depth: number;
  /** Number of retries already spent further up the call tree. */
  readonly retriesSpent: number;
  /** Hash of method, path and body, which identifies a resent request. May be computed lazily. */
  readonly fingerprint: string;
  /** Monotonic time of the latency objective in milliseconds, if there is one. */
  readonly objectiveAtMs?: number | undefined;
  /** Rank among the calls of its service: the lower, the more urgent. Absent: the most urgent. */
  readonly priority?: number | undefined;
  /** Whether its answer is large, so that the transfer takes a part of the time. */
  readonly hasLargeAnswer?: boolean | undefined;
  /** Maximum number of servers that the call may be sent to, if operators limit it. */
  readonly maxAttempts?: number | undefined;
  /** Version of the operators' configuration that routed the call. */
  readonly configurationVersion?: number | undefined;
  /** Name of the route in that configuration. */
  readonly route?: string | undefined;
}

/** Outcome of one attempt at a backend server. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly answer: IAnswer }
  /** No byte reached the server, or the server reports that it did not run the request. */
  | {
      readonly kind: 'not-sent';
      /**
       * Default: the server could not be reached. `unwanted`: the server has stated meanwhile that it
       * wants no requests.
       */
      readonly reason?: 'connection-limit' | 'unwanted' | undefined;
      readonly detail: string;
    }
  | { readonly kind: 'refused'; readonly draining: boolean }
  /** Bytes may have reached the server, and no complete answer arrived. */
  | {
      readonly kind: 'lost';
      readonly reason:
        | 'connection-lost'
        | 'answer-truncated'
        /** The end of the answer is not marked, so that truncation cannot be detected. */
        | 'answer-unframed'
        | 'answer-too-large'
        /** The received bytes do not belong to an answer to this request. */
        | 'answer-invalid'
        | 'silent';
      readonly detail: string;
    };

/** Receives the events of one attempt. */
export interface IAttemptListener {
  /** Returns whether the request may still be sent. Asked once its connection is open. */
  mayStart(): boolean;
  /** Returns whether another attempt could follow if this one is given up for its silence. */
  mayAbandon(): boolean;
  /** Called at most once, when the first byte may have been sent. */
  onSent(): void;
  /** Called whenever an answer carries a load report. */
  onLoadReport(report: policyTypes.ILoadReport): void;
  /** Called exactly once, unless the attempt is cancelled first. */
  onEnd(outcome: AttemptOutcome): void;
}

/** Handle of an attempt in progress, or of a call as a whole. */
export interface IAttempt {
  /** Aborts the exchanges in progress. No event follows, and their connections are never reused. */
  cancel(): void;
}

/** Handle of a call that runs on the servers of this daemon. */
export interface IRunningCall extends IAttempt {
  /**
   * Ends the call because its servers are out of reach. Its outcome follows: `unknown` if a server
   * may have run it.
   */
  abandon(): void;
}

/** Sends requests to backend servers. Implemented over HTTP and by the virtual-time benchmark. */
export interface IBackendTransport {
  /** Sends `call` to `server` once and never retries it. */
  send(call: ICall, server: tableTypes.IServerRow, listener: IAttemptListener): IAttempt;
  /** Queries the load of a server. `onReply` receives undefined if no usable reply arrives. */
  probe(
    server: tableTypes.IServerRow,
    timeoutMs: number,
    onReply: (report: policyTypes.ILoadReport | undefined) => void,
  ): void;
}

/** Checks the health and load of servers immediately before a dispatch. */
export interface IServerChecker {
  /** Whether an idle connection to the server is open. */
  hasIdleConnection(address: string): boolean;
  /** @param onReply Called once, within `timeoutMs` milliseconds. */
  check(
    server: tableTypes.IServerRow,
    healthPath: string,
    timeoutMs: number,
    onReply: (reply: policyTypes.CheckReply) => void,
  ): void;
}

/** Server of an attempt, and the reasons for its selection. */
export interface IAttemptChoice {
  readonly server: string;
  readonly instance: string | undefined;
  /** Number of the attempt within its call, from 1. */
  readonly attempt: number;
  /** Expected duration relative to that on an idle server. */
  readonly cost: number;
  /** Load report used for the selection, and its age in milliseconds. */
  readonly report: policyTypes.ILoadReport | undefined;
  readonly reportAgeMs: number | undefined;
  readonly remainingMs: number;
}

/** Whether a failed attempt is retried, and the reasons. */
export interface IRetryDecision {
  readonly isAllowed: boolean;
  readonly sent: number;
  readonly maxAttempts: number | undefined;
  readonly isSuspect: boolean;
  /** Whether the retry budget granted a permit; undefined if none was requested. */
  readonly hasPermit: boolean | undefined;
}

/**
 * Whether a server has ended that was sent a request and gave no answer. `undecided`: it did not
 * answer a check, and the table still lists its process.
 */
export type LossVerdict = 'ended' | 'running' | 'undecided';

/** Receives the decisions made during calls. */
export interface ICallObserver {
  onAttemptStarted(call: ICall, choice: IAttemptChoice): void;
  /** @param outcome Undefined if the attempt was cancelled. */
  onAttemptEnded(
    call: ICall,
    server: string,
    outcome: AttemptOutcome | undefined,
    latencyMs: number,
  ): void;
  onRetryDecided(call: ICall, decision: IRetryDecision): void;
  /** Called when the call is refused because no server had room for it. */
  onWaitEnded(call: ICall, refusal: schedulingTypes.IOverload): void;
  /** Called when a call is sent to a second server, and when that one answers first. */
  onSecondSend?(call: ICall, result: 'sent' | 'won'): void;
  /** Called when it is known whether a server ended while it ran the request of the call. */
  onLossDecided(call: ICall, server: string, verdict: LossVerdict): void;
}
