import type * as callerConnection from './CallerConnection';

/** Descriptors that a process has if its settings state no number. */
const DEFAULT_DESCRIPTORS = 4_100;

/** Descriptors of a process that are for files. */
const FILE_DESCRIPTORS = 200;

/** Share of the other descriptors for the connections of callers; servers and peers need the rest. */
const CALLER_SHARE = 0.75;

const DEFAULT_ANSWER_READ_MS = 60_000;

/** Why a daemon closed the connection of a caller. */
export type ClosureCause =
  /** It held most when the budget was exhausted. */
  | 'memory'
  /** It was idle for longest, or the new one, when there were as many connections as allowed. */
  | 'connections'
  /** Its client account had as many connections as allowed. */
  | 'client'
  /** The caller took no byte of an answer for a while. */
  | 'unread';

/** Closed connection of a caller, for the log. */
export interface IClosure {
  readonly cause: ClosureCause;
  readonly client: string | undefined;
  readonly heldBytes: number;
  readonly requests: number;
}

/** Limits on the connections of callers. */
export interface ICallerLimits {
  /** Limit on all connections. */
  readonly connections: number;
  /** Limit on the connections of one IP address, or undefined for none. */
  readonly perClient: number | undefined;
  /** Time in which a caller must take a byte of an answer, in milliseconds. */
  readonly answerReadMs: number;
}

/** Returns the limit on the connections of callers for a number of descriptors. */
export function connectionsFor(descriptors = DEFAULT_DESCRIPTORS): number {
  return Math.max(1, Math.floor(CALLER_SHARE * (descriptors - FILE_DESCRIPTORS)));
}

/** Limits that no caller within the documented limits meets. */
export const DEFAULTS: ICallerLimits = {
  connections: connectionsFor(),
  perClient: undefined,
  answerReadMs: DEFAULT_ANSWER_READ_MS,
};

/** Connections of callers, and which of them has to close for another one. */
export class ConnectionLimits implements callerConnection.IConnectionOwner {
  /** Connections without a request, the one that is idle for longest first. */
  private readonly idle = new Set<callerConnection.CallerConnection>();

  private readonly countsByClient = new Map<string, number>();

  private count = 0;

  private limits = DEFAULTS;

  public constructor(private readonly onClosed: (closure: IClosure) => void) {}

  /** Sets the limits, which apply to connections that open from then on. */
  public set(limits: ICallerLimits): void {
    this.limits = limits;
  }

  /**
   * Counts a new connection, and closes one if there are too many: the longest idle one, or else the
   * new one.
   */
  public open(connection: callerConnection.CallerConnection): void {
    const { connections, perClient } = this.limits;
    const { client = '' } = connection;
    const countOfClient = (this.countsByClient.get(client) ?? 0) + 1;
    this.countsByClient.set(client, countOfClient);
    this.count += 1;
    this.idle.add(connection);
    if (perClient !== undefined && countOfClient > perClient) connection.end('client');
    else if (this.count > connections) this.longestIdle?.end('connections');
  }

  /** Must be called once for each connection that was opened. */
  public close(connection: callerConnection.CallerConnection): void {
    const { client = '' } = connection;
    const countOfClient = (this.countsByClient.get(client) ?? 0) - 1;
    if (countOfClient > 0) this.countsByClient.set(client, countOfClient);
    else this.countsByClient.delete(client);
    this.count -= 1;
    this.idle.delete(connection);
  }

  private get longestIdle(): callerConnection.CallerConnection | undefined {
    const [longest] = this.idle;
    return longest;
  }

  public onBusy(connection: callerConnection.CallerConnection): void {
    this.idle.delete(connection);
  }

  public onIdle(connection: callerConnection.CallerConnection): void {
    this.idle.add(connection);
  }

  public onEnded(connection: callerConnection.CallerConnection, cause: ClosureCause): void {
    this.idle.delete(connection);
    const { client, weight: heldBytes, size: requests } = connection;
    this.onClosed({ cause, client, heldBytes, requests });
  }
}
