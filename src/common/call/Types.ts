import type * as policyTypes from '../policy/Types';
import type * as tableTypes from '../table/Types';

/** Reasons for a refusal that is certain to have run nowhere. */
export type NotRunKind =
  | 'unknown-service'
  | 'malformed-request'
  /** The head or the body did not arrive in full within the time for it. */
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

/** Reasons for an answer that cannot say whether the request ran. */
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

/** A complete answer of a backend server. */
export interface IAnswer {
  readonly status: number;
  /** Names in lower case and values, in turn, as received. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Whether the server failed by its own account. By default the status tells. */
  readonly isFailure?: boolean | undefined;
}

/** What a call ends with. Exactly one outcome reaches the caller. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly answer: IAnswer; readonly server: string }
  | { readonly kind: 'not-run'; readonly reason: NotRunKind; readonly detail: string }
  | {
      readonly kind: 'unknown';
      readonly reason: UnknownOutcomeKind;
      readonly detail: string;
      /** Whether this daemon sent the request to a backend server during this call. */
      readonly dispatched: boolean;
    };

/** A request to be run on one of the servers of a service. */
export interface ICall {
  readonly requestId: string;
  readonly service: tableTypes.IServiceRow;
  readonly table: tableTypes.ITable;
  readonly method: string;
  /** Path and query that the backend server receives. */
  readonly path: string;
  /** Names in lower case and values, in turn, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Monotonic time in milliseconds at which the caller stops waiting. */
  readonly deadlineMs: number;
  /** Number of daemons that the call tree passed before this one, from 0. */
  readonly depth: number;
  /** Retries already spent in the call tree above. */
  readonly retriesSpent: number;
  /** Hash of method, path and body; identifies a request that is sent again. May be computed late. */
  readonly fingerprint: string;
  /** Monotonic time in milliseconds until which an answer is of full use, if that is stated. */
  readonly objectiveAtMs?: number | undefined;
  /** Servers that the call may be sent to in all, where the operators limit them. */
  readonly maxAttempts?: number | undefined;
  /** Version of the operators' configuration that routed the call. */
  readonly configurationVersion?: number | undefined;
}

/** How one attempt at a backend server ended. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly answer: IAnswer }
  /** No byte reached the server, or the server stated that it did not run the request. */
  | {
      readonly kind: 'not-sent';
      /** By default the server was not reached. */
      readonly reason?: 'connection-limit' | undefined;
      readonly detail: string;
    }
  | { readonly kind: 'refused'; readonly draining: boolean }
  /** Bytes may have reached the server, and no complete answer came back. */
  | {
      readonly kind: 'lost';
      readonly reason:
        | 'connection-lost'
        | 'answer-truncated'
        /** The server marked no end of the answer, so that it cannot be known to be complete. */
        | 'answer-unframed'
        | 'answer-too-large'
        /** The bytes belong to no answer of this request. */
        | 'answer-invalid'
        | 'silent';
      readonly detail: string;
    };

/** Receives the events of one attempt. */
export interface IAttemptListener {
  /** Called at most once, when the first byte may have left. */
  onSent(): void;
  /** Called whenever an answer carries a load report. */
  onLoadReport(report: policyTypes.ILoadReport): void;
  /** Called exactly once, unless the attempt is cancelled first. */
  onEnd(outcome: AttemptOutcome): void;
}

/** An attempt under way. */
export interface IAttempt {
  /** Closes the exchange. No event follows, and its connection is never used again. */
  cancel(): void;
}

/** Sends requests to backend servers. Implemented over HTTP, and by the virtual-time bench. */
export interface IBackendTransport {
  /** Sends `call` once to `server`. Never sends it a second time. */
  send(call: ICall, server: tableTypes.IServerRow, listener: IAttemptListener): IAttempt;
  /** Asks a server for its load. `onReply` receives undefined if no usable reply came. */
  probe(
    server: tableTypes.IServerRow,
    timeoutMs: number,
    onReply: (report: policyTypes.ILoadReport | undefined) => void,
  ): void;
}

/** Asks servers for their health and load right before a dispatch. */
export interface IServerChecker {
  /** Whether a connection to the server is open and idle. */
  hasIdleConnection(address: string): boolean;
  /** @param onReply Called once, at the latest after `timeoutMs` milliseconds. */
  check(
    server: tableTypes.IServerRow,
    healthPath: string,
    timeoutMs: number,
    onReply: (reply: policyTypes.CheckReply) => void,
  ): void;
}

/** Why an attempt goes to a server. */
export interface IAttemptChoice {
  readonly server: string;
  readonly instance: string | undefined;
  /** Number of the attempt within its call, from 1. */
  readonly attempt: number;
  /** Expected duration relative to that on an idle server. */
  readonly cost: number;
  /** Load report that decided, and its age in milliseconds. */
  readonly report: policyTypes.ILoadReport | undefined;
  readonly reportAgeMs: number | undefined;
  readonly remainingMs: number;
}

/** Whether a failed attempt is followed by another one, and what decided that. */
export interface IRetryDecision {
  readonly isAllowed: boolean;
  readonly sent: number;
  readonly maxAttempts: number | undefined;
  readonly isSuspect: boolean;
  /** Whether the budget for retries had a permit; undefined if it was not asked. */
  readonly hasPermit: boolean | undefined;
}

/** Learns of the decisions within calls. */
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
}
