import type * as routingTypes from '../routing/Types';

/** Class of work. Prompt work goes first; work at leisure is shed first. */
export type WorkClass = 'prompt' | 'leisure';

/** Whether callers must send a request key that a daemon has issued. */
export type RequestKeyRule = 'required' | 'none';

/** A service: one row of kind `service`. Durations are in milliseconds, sizes in bytes. */
export interface IServiceRow {
  readonly name: string;
  readonly workClass: WorkClass;
  /** Whether a request may be run twice without harm. Only then is it retried or hedged. */
  readonly idempotent: boolean;
  readonly requestKey: RequestKeyRule;
  /** Deadline of a call that states none. */
  readonly deadlineMs: number;
  /** Probes per second that the whole fleet may send to the servers of this service. */
  readonly probesPerSecond: number;
  /** Hedged requests, as a fraction of first attempts. */
  readonly hedgeFraction: number;
  /** Retries, as a fraction of first attempts. */
  readonly retryFraction: number;
  readonly maxRequestBytes: number;
  readonly maxAnswerBytes: number;
  /** Path that a server answers with its health, where servers are asked before a dispatch. */
  readonly healthPath?: string | undefined;
}

/** A backend server: one row of kind `server`. */
export interface IServerRow {
  readonly service: string;
  /** IP address and port, as in `10.0.0.1:8080`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Relative share of work. 0 keeps the server listed but sends it no new work. */
  readonly weight: number;
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** Connections that the whole fleet may hold to the server. */
  readonly maxConnections: number;
  /** Names the server. It is sent along, so that another one at the address refuses the request. */
  readonly instance?: string | undefined;
  /** Start of the server process in Unix milliseconds; a later one knows nothing of before. */
  readonly startedAtMs?: number | undefined;
}

/** A checked table. Immutable: a call keeps the one that it began with. */
export interface ITable {
  readonly version: number;
  /** Hash of the text, to tell apart tables that carry the same version. */
  readonly hash: string;
  /** The upper limit on daemons running at once, replacements included. */
  readonly maxDaemons: number;
  readonly services: ReadonlyMap<string, IServiceRow>;
  /** Servers by service name. Every service of `services` has an entry. */
  readonly servers: ReadonlyMap<string, readonly IServerRow[]>;
  /** The text that was checked, as published. */
  readonly text: string;
  /** Routes by host and path, where callers do not name the service themselves. */
  readonly routes?: routingTypes.IRouteTable | undefined;
}

/** One fault of a table, placed for a reader who has it open in a spreadsheet. */
export interface ITableProblem {
  /** Line of the text, from 1. */
  readonly line: number;
  readonly column: string;
  readonly found: string;
  /** The values accepted there, as a sentence fragment. */
  readonly accepted: string;
}

/** What became of a table that was offered for use. */
export type TableOfferResult =
  | { readonly kind: 'accepted'; readonly table: ITable }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'older'; readonly offeredVersion: number; readonly activeVersion: number }
  | { readonly kind: 'conflict'; readonly version: number; readonly offeredHash: string }
  | { readonly kind: 'invalid'; readonly problems: readonly ITableProblem[] };
