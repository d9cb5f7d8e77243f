import * as crypto from 'node:crypto';
import type * as http from 'node:http';

import type * as issueEndpoint from '../keys/IssueEndpoint';
import type * as callerProtocol from './CallerProtocol';
import * as requestHead from './RequestHead';
import * as responseWriter from './ResponseWriter';
import type * as serverTypes from './Types';

/** Prefix of the paths that the daemon serves itself. No service has such a name. */
export const RESERVED_PREFIX = '/.lavenderspar/';

const ISSUE_PATH = '/.lavenderspar/request-keys';

/** Dependencies of the endpoint. */
export interface IKeyEndpointContext {
  readonly daemonState: serverTypes.IDaemonState;
  readonly observer: serverTypes.IRequestObserver;
  readonly protocol: callerProtocol.CallerProtocol;
  issueKeys(count: string | undefined): issueEndpoint.IssueReply;
}

/** Issues request keys to callers. */
export class KeyEndpoint {
  public constructor(private readonly context: IKeyEndpointContext) {}

  public serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    const requestId = crypto.randomUUID();
    const reply = this.replyTo(request);
    if (reply.kind === 'issued') {
      const { kind, ...content } = reply;
      responseWriter.writeJson(response, requestId, content);
      return;
    }
    const { table, phase } = this.context.daemonState;
    const record = {
      requestId,
      service: '',
      kind: reply.reason,
      outcome: reply.kind,
      detail: reply.detail,
      dispatched: false,
      tableVersion: table?.version ?? 0,
    };
    this.context.observer.onRefused(record, 0);
    const localReply = this.context.protocol.toLocalReply(record);
    responseWriter.writeRefusal(response, localReply, phase === 'stopping');
  }

  private replyTo(request: http.IncomingMessage): issueEndpoint.IssueReply | serverTypes.NotRun {
    const [path, query] = (request.url ?? '').split('?', 2);
    if (path !== ISSUE_PATH || request.method !== 'POST') {
      return requestHead.notRun('unknown-service', `only POST ${ISSUE_PATH} is served here`);
    }
    const { phase } = this.context.daemonState;
    if (phase === 'stopping') {
      return requestHead.notRun('shutting-down', 'the daemon is about to stop');
    }
    // Peers must know this daemon before it issues keys; otherwise they cannot find the issuer.
    if (phase === 'starting') return requestHead.notRun('not-ready', 'the daemon is not ready yet');
    return this.context.issueKeys(new URLSearchParams(query).get('count') ?? undefined);
  }
}
