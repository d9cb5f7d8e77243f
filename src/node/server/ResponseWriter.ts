import * as http from 'node:http';

import type * as callTypes from '../../common/call/Types';
import * as headers from '../dispatch/Headers';
import * as refusals from './Refusals';
import type * as serverTypes from './Types';

const OK = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Bodies up to this size, in bytes, are passed on as a string: Node.js then sends headers and body
 * in one write in place of a gathering write, which takes more processor time.
 */
const MAX_STRING_BODY_BYTES = 16 * 1024;

const OWN_RESPONSE_HEADERS = new Set([headers.REQUEST_ID, headers.REQUEST_OUTCOME]);

function contentLength(method: string, answer: callTypes.IAnswer): string[] {
  if (answer.status === NO_CONTENT) return [];
  if (method !== 'HEAD' && answer.status !== NOT_MODIFIED) {
    return ['content-length', `${answer.body.length}`];
  }
  // The length that a GET would have had. There is no body to measure.
  const stated = headers.find(answer.headers, 'content-length');
  return stated === undefined ? [] : ['content-length', stated];
}

function refusalHeaders(problem: refusals.IProblem, body: string): string[] {
  return [
    'content-type',
    'application/problem+json',
    'content-length',
    `${Buffer.byteLength(body)}`,
    headers.REQUEST_OUTCOME,
    problem.outcome,
    headers.REQUEST_ID,
    problem.requestId,
  ];
}

/** Sends the answer of a backend server to the caller. */
export function writeAnswer(
  response: http.ServerResponse,
  call: callTypes.ICall,
  answer: callTypes.IAnswer,
  close: boolean,
): void {
  const list = headers.withoutHopByHop(answer.headers, OWN_RESPONSE_HEADERS);
  list.push(...contentLength(call.method, answer));
  // A `not-run` that the server passes on from a deeper daemon is not true of this request.
  list.push(headers.REQUEST_OUTCOME, 'answered', headers.REQUEST_ID, call.requestId);
  if (close) list.push('connection', 'close');
  response.writeHead(answer.status, list);
  const { body } = answer;
  if (body.length > MAX_STRING_BODY_BYTES) response.end(body);
  // Latin-1 maps each byte to one character and back, so that any content survives.
  else
    response.end(
      Buffer.from(body.buffer, body.byteOffset, body.length).toString('latin1'),
      'latin1',
    );
}

/** Sends a refusal to the caller. */
export function writeRefusal(
  response: http.ServerResponse,
  record: serverTypes.IRefusalRecord,
  close: boolean,
): void {
  const problem = refusals.toProblem(record);
  const body = JSON.stringify(problem);
  const list = refusalHeaders(problem, body);
  if (close) list.push('connection', 'close');
  response.writeHead(problem.status, list);
  response.end(body);
}

/** A refusal as bytes, for a request that was never parsed. The connection ends after it. */
export function rawRefusal(record: serverTypes.IRefusalRecord): string {
  const problem = refusals.toProblem(record);
  const body = JSON.stringify(problem);
  const list = [...refusalHeaders(problem, body), 'connection', 'close'];
  const reason = http.STATUS_CODES[problem.status] ?? '';
  const lines = list.flatMap((name, index) =>
    index % 2 === 0 ? [`${name}: ${list[index + 1]}\r\n`] : [],
  );
  return `HTTP/1.1 ${problem.status} ${reason}\r\n${lines.join('')}\r\n${body}`;
}

/** Sends an answer of the daemon itself as JSON. */
export function writeOwn(response: http.ServerResponse, requestId: string, content: unknown): void {
  const body = JSON.stringify(content);
  response.writeHead(OK, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [headers.REQUEST_OUTCOME]: 'answered',
    [headers.REQUEST_ID]: requestId,
  });
  response.end(body);
}
