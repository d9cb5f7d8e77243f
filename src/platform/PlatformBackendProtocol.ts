import type * as callTypes from '../common/call/Types';
import * as durations from '../common/Durations';
import type * as policyTypes from '../common/policy/Types';
import type * as restraintTypes from '../common/restraint/Types';
import type * as tableTypes from '../common/table/Types';
import * as backendProtocol from '../node/dispatch/BackendProtocol';
import * as headers from '../node/dispatch/Headers';
import * as wireNames from './WireNames';

const STATUS_OK = 200;
const STATUS_REDIRECT = 300;
const STATUS_SERVER_ERROR = 500;
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;

/** Statuses that tell a caller that its request was not run. */
const NOT_RUN_STATUSES = new Set([408, STATUS_MISDIRECTED, 429, 503]);

const PERCENT = 100;

const MS_PER_S = 1_000;

/** Headers of which a response that a server has not garbled carries at least one. */
const GENUINE_HEADERS = [
  wireNames.RESPONSE_SIGNATURE,
  wireNames.NOT_EXECUTED,
  wireNames.INSTANCE_ID,
];

/** Characters of an unusable header that are logged. */
const MAX_LOGGED_LENGTH = 40;

const DECIMAL = /^\d+(\.\d+)?$/;

function parseLimit(
  status: number,
  list: readonly string[],
): restraintTypes.IServerSignals['limit'] {
  // Another server answers, so that the one to which the request was addressed is gone.
  if (status === STATUS_MISDIRECTED) return 'unknown';
  const text = headers.find(list, wireNames.SERVER_LIMIT);
  if (text !== undefined) return DECIMAL.test(text) ? Number(text) : 'unknown';
  return GENUINE_HEADERS.some((name) => headers.find(list, name) !== undefined)
    ? 'none'
    : 'unknown';
}

/** Parses the time for which a server stays cold: a number of milliseconds, or a duration. */
function parseColdMs(text: string): number | undefined {
  if (!DECIMAL.test(text)) return durations.parseDuration(text);
  const coldMs = Number(text);
  return Number.isFinite(coldMs) ? coldMs : undefined;
}

function readColdMs(status: number, list: readonly string[]): number | undefined {
  // Another server answers, so that the one to which the request was addressed is gone.
  if (status === STATUS_MISDIRECTED) return undefined;
  const text = headers.find(list, wireNames.WARMUP_REMAINING);
  return text === undefined ? undefined : parseColdMs(text);
}

/** Returns the headers of which the value cannot be used, if there are any. */
function unusableSignals(status: number, list: readonly string[]): readonly string[] | undefined {
  const isDecimal = (text: string) => DECIMAL.test(text);
  const checks: [string, (text: string) => boolean][] = [
    [wireNames.SERVER_LIMIT, isDecimal],
    [wireNames.WARMUP_REMAINING, (text) => parseColdMs(text) !== undefined],
  ];
  if (status === STATUS_UNAVAILABLE) checks.push([wireNames.RETRY_AFTER, isDecimal]);
  const unusable = checks.flatMap(([name, isUsable]) => {
    const text = headers.find(list, name);
    if (text === undefined || isUsable(text)) return [];
    return [`${name}: ${text.slice(0, MAX_LOGGED_LENGTH)}`];
  });
  return unusable.length === 0 ? undefined : unusable;
}

/** Parses a load header: `running,queued,slots[,percent]`. */
function parseLoad(text: string | undefined): policyTypes.ILoadReport | undefined {
  if (text === undefined) return undefined;
  const [inFlight, queued, , percent] = text.split(',').map(Number);
  if (inFlight === undefined || queued === undefined) return undefined;
  if (!(inFlight >= 0) || !(queued >= 0)) return undefined;
  const hasSlowdown = percent !== undefined && percent > 0;
  const slowdown = hasSlowdown ? percent / PERCENT : undefined;
  return { inFlight, queued, draining: false, slowdown };
}

/** Implements the platform's HTTP protocol between daemons and backend servers. */
export class PlatformBackendProtocol extends backendProtocol.BackendProtocol {
  public readonly allowsCloseDelimitedBody: boolean = true;

  public requestHeaders(
    call: callTypes.ICall,
    server: tableTypes.IServerRow,
    remainingMs: number,
  ): string[] {
    const list = [...call.headers, wireNames.REQUEST_DEADLINE, `${remainingMs}`];
    if (server.instance !== undefined) list.push(wireNames.EXPECTED_INSTANCE, server.instance);
    return list;
  }

  public classifyResponse(
    call: Pick<callTypes.ICall, 'requestId'>,
    status: number,
    list: readonly string[],
    isReused = false,
  ): backendProtocol.ResponseClassification {
    const requestId = headers.find(list, wireNames.REQUEST_ID);
    if (requestId !== undefined && requestId !== call.requestId) {
      return { kind: 'invalid', detail: `the answer belongs to the request ${requestId}` };
    }
    if (requestId === undefined && isReused) {
      // It may be the reply to a health check, once more, which would state that nothing was run.
      return { kind: 'invalid', detail: 'the answer does not tell to which request it belongs' };
    }
    if (headers.find(list, wireNames.NOT_EXECUTED) !== undefined || status === STATUS_MISDIRECTED) {
      return { kind: 'refused', draining: false };
    }
    const isSuccess = status >= STATUS_OK && status < STATUS_REDIRECT;
    const isSigned = headers.find(list, wireNames.RESPONSE_SIGNATURE) !== undefined;
    if (isSuccess && !isSigned) return { kind: 'invalid', detail: 'the answer is not signed' };
    if (headers.find(list, 'content-encoding') !== undefined) {
      return { kind: 'invalid', detail: 'the body is encoded, which the server does not do' };
    }
    if (NOT_RUN_STATUSES.has(status)) {
      return { kind: 'invalid', detail: `status ${status} without the statement that it is true` };
    }
    return { kind: 'answer', isFailure: status >= STATUS_SERVER_ERROR };
  }

  public override isForeignCheckReply(list: readonly string[]): boolean {
    return headers.find(list, wireNames.REQUEST_ID) !== undefined;
  }

  public readLoad(list: readonly string[]): policyTypes.ILoadReport | undefined {
    return parseLoad(headers.find(list, wireNames.SERVER_LOAD));
  }

  public override readSignals(
    server: tableTypes.IServerRow,
    status: number,
    list: readonly string[],
  ): restraintTypes.IServerSignals | undefined {
    const instance = headers.find(list, wireNames.INSTANCE_ID);
    if (instance !== undefined && instance !== server.instance) return undefined;
    const retryAfter = headers.find(list, wireNames.RETRY_AFTER) ?? '';
    const isPause = status === STATUS_UNAVAILABLE && DECIMAL.test(retryAfter);
    return {
      limit: parseLimit(status, list),
      isLeaving: headers.find(list, wireNames.SERVER_LEAVING) === '1',
      pauseMs: isPause ? Number(retryAfter) * MS_PER_S : 0,
      coldMs: readColdMs(status, list),
      disregarded: unusableSignals(status, list),
    };
  }

  public classifyCheckReply(
    server: tableTypes.IServerRow,
    status: number,
    list: readonly string[],
  ): policyTypes.CheckReply {
    const instance = headers.find(list, wireNames.INSTANCE_ID);
    if (instance !== undefined && instance !== server.instance) return { kind: 'replaced' };
    const report = this.readLoad(list);
    if (status === STATUS_OK) return { kind: 'ready', report };
    const isFull = headers.find(list, wireNames.NOT_EXECUTED) !== undefined;
    return { kind: isFull ? 'full' : 'unhealthy', report };
  }
}
