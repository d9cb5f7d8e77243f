import * as crypto from 'node:crypto';
import type * as http from 'node:http';

import type * as callTypes from '../../common/call/Types';
import type * as tableTypes from '../../common/table/Types';
import * as headers from '../dispatch/Headers';
import * as callerProtocol from './CallerProtocol';
import * as refusals from './Refusals';
import * as requestHead from './RequestHead';
import type * as serverTypes from './Types';

const DAEMON_RESPONSE_HEADERS = new Set([headers.REQUEST_ID, headers.REQUEST_OUTCOME]);

/** Default protocol: the first path segment names the service, and refusals are problem details. */
export class DefaultCallerProtocol extends callerProtocol.CallerProtocol {
  public requestIdOf(): string {
    return crypto.randomUUID();
  }

  public readHead(
    request: http.IncomingMessage,
    table: tableTypes.ITable,
  ): requestHead.IRequestHead | serverTypes.NotRun {
    return requestHead.readHead(request, table);
  }

  public serviceOf(request: http.IncomingMessage, table: tableTypes.ITable): string {
    const named = requestHead.splitTarget(request.url ?? '')?.service ?? '';
    return table.services.has(named) ? named : '';
  }

  public findKey(
    request: http.IncomingMessage,
    table: tableTypes.ITable | undefined,
  ): requestHead.IKeyUse | undefined {
    return requestHead.findKey(request, table);
  }

  public forwardedResponseHeaders(answer: callTypes.IAnswer): string[] {
    // A `not-run` that the server forwards from a deeper daemon does not apply to this request.
    return headers.withoutHopByHop(answer.headers, DAEMON_RESPONSE_HEADERS);
  }

  public addedHeaders(call: callTypes.ICall): string[] {
    return [headers.REQUEST_OUTCOME, 'answered', headers.REQUEST_ID, call.requestId];
  }

  public toLocalReply(record: serverTypes.IRefusalRecord): callerProtocol.ILocalReply {
    const problem = refusals.toProblem(record);
    const list = [
      'content-type',
      'application/problem+json',
      headers.REQUEST_OUTCOME,
      problem.outcome,
      headers.REQUEST_ID,
      problem.requestId,
    ];
    return { status: problem.status, headers: list, body: JSON.stringify(problem) };
  }
}
