import * as http from 'node:http';

import type * as callTypes from '../../common/call/Types';
import * as headers from '../dispatch/Headers';
import type * as callerProtocol from './CallerProtocol';
import type * as pacedWriter from './PacedWriter';

const OK = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Maximum size, in bytes, of bodies that are written as a string: Node.js then sends headers and
 * body in a single write instead of a gathering write, which takes more CPU time.
 */
const MAX_STRING_BODY_BYTES = 16 * 1024;

function contentLength(method: string, answer: callTypes.IAnswer): string[] {
  if (answer.status === NO_CONTENT) return [];
  if (method !== 'HEAD' && answer.status !== NOT_MODIFIED) {
    return ['content-length', `${answer.body.length}`];
  }
  // There is no body to measure, so the length that the server declared is forwarded.
  const declaredLength = headers.find(answer.headers, 'content-length');
  return declaredLength === undefined ? [] : ['content-length', declaredLength];
}

/**
 * Writes the answer of a backend server to the caller.
 * @param writer Writes large bodies; undefined to write them at once.
 */
export function writeAnswer(
  response: http.ServerResponse,
  call: callTypes.ICall,
  answer: callTypes.IAnswer,
  protocol: callerProtocol.CallerProtocol,
  close: boolean,
  writer?: pacedWriter.PacedWriter,
): void {
  const list = protocol.forwardedResponseHeaders(answer);
  list.push(...contentLength(call.method, answer), ...protocol.addedHeaders(call));
  if (close) list.push('connection', 'close');
  response.writeHead(answer.status, list);
  // Node.js would put the headers in front of an interim response that waits for its turn as well.
  if (response.socket === null) response.flushHeaders();
  const { body } = answer;
  if (body.length > MAX_STRING_BODY_BYTES) {
    if (writer === undefined) response.end(body);
    else writer.end(response, body);
  }
  // Latin-1 maps each byte to one character and back, so any content is preserved.
  else
    response.end(
      Buffer.from(body.buffer, body.byteOffset, body.length).toString('latin1'),
      'latin1',
    );
}

function headersOf(reply: callerProtocol.ILocalReply, close: boolean): string[] {
  const list = [...reply.headers, 'content-length', `${Buffer.byteLength(reply.body)}`];
  if (close) list.push('connection', 'close');
  return list;
}

/** Writes a refusal to the caller. */
export function writeRefusal(
  response: http.ServerResponse,
  reply: callerProtocol.ILocalReply,
  close: boolean,
): void {
  response.writeHead(reply.status, headersOf(reply, close));
  response.end(reply.body);
}

/** Serializes a refusal that is written directly to a socket, which is closed after it. */
export function serializeRefusal(reply: callerProtocol.ILocalReply): string {
  const list = headersOf(reply, true);
  const reason = http.STATUS_CODES[reply.status] ?? '';
  const lines = list.flatMap((name, index) =>
    index % 2 === 0 ? [`${name}: ${list[index + 1]}\r\n`] : [],
  );
  return `HTTP/1.1 ${reply.status} ${reason}\r\n${lines.join('')}\r\n${reply.body}`;
}

/** Writes a JSON response of the daemon itself. */
export function writeJson(
  response: http.ServerResponse,
  requestId: string,
  content: unknown,
): void {
  const body = JSON.stringify(content);
  response.writeHead(OK, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [headers.REQUEST_OUTCOME]: 'answered',
    [headers.REQUEST_ID]: requestId,
  });
  response.end(body);
}
