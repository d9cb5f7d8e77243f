import type * as callTypes from '../../common/call/Types';
import type * as policyTypes from '../../common/policy/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as backendProtocol from './BackendProtocol';
import * as headers from './Headers';

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Default protocol between daemons and backend servers, based on the headers of this product. */
export class DefaultBackendProtocol extends backendProtocol.BackendProtocol {
  /** False: the connections of a server that crashes also close gracefully, which hides truncation. */
  public readonly allowsCloseDelimitedBody: boolean = false;

  public constructor(private readonly clock: types.IClock) {
    super();
  }

  public requestHeaders(
    call: callTypes.ICall,
    _server: tableTypes.IServerRow,
    remainingMs: number,
  ): string[] {
    const deadline = this.clock.wallTime().getTime() + remainingMs;
    return [
      ...call.headers,
      headers.REQUEST_ID,
      call.requestId,
      headers.REQUEST_TIMEOUT_MS,
      `${remainingMs}`,
      headers.REQUEST_DEADLINE,
      `${deadline}`,
      headers.CALL_DEPTH,
      `${call.depth + 1}`,
      headers.RETRIES_SPENT,
      `${call.retriesSpent}`,
    ];
  }

  /**
   * A server may forward the refusal of a daemon deeper in the call tree. Such a refusal carries
   * the request id of the nested call. It counts as an answer, since this server ran its own part.
   */
  public classifyResponse(
    call: Pick<callTypes.ICall, 'requestId'>,
    status: number,
    list: readonly string[],
  ): backendProtocol.ResponseClassification {
    if (status !== STATUS_UNAVAILABLE) return { kind: 'answer' };
    if (headers.find(list, headers.REQUEST_OUTCOME) !== 'not-run') return { kind: 'answer' };
    const requestId = headers.find(list, headers.REQUEST_ID);
    const isOwnRefusal = requestId === undefined || requestId === call.requestId;
    const draining = headers.find(list, headers.BACKEND_STATE) === 'draining';
    return isOwnRefusal ? { kind: 'refused', draining } : { kind: 'answer' };
  }

  public readLoad(list: readonly string[]): policyTypes.ILoadReport | undefined {
    return headers.parseLoadReport(
      headers.find(list, headers.LOAD_METRICS),
      headers.find(list, headers.BACKEND_STATE),
    );
  }

  public classifyCheckReply(
    _server: tableTypes.IServerRow,
    status: number,
    list: readonly string[],
  ): policyTypes.CheckReply {
    return { kind: status === STATUS_OK ? 'ready' : 'unhealthy', report: this.readLoad(list) };
  }
}
