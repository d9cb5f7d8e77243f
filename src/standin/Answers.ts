import * as crypto from 'node:crypto';
import type * as http from 'node:http';

import type * as standinTypes from './Types';

/** Size of an oversized answer, above the default limit `max_answer_bytes` of a service. */
const OVERSIZED_ANSWER_BYTES = 2 * 1024 * 1024;

/** Returns the checksum of the request's identity and body, which its answer must carry. */
export function checksumOf(identity: string, body: Uint8Array): string {
  return crypto.createHash('sha256').update(identity).update(body).digest('hex');
}

/** Returns whether `text` is the complete answer to the request. */
export function isAnswerTo(text: string, identity: string, body: Uint8Array): boolean {
  try {
    const answer = JSON.parse(text) as { identity?: unknown; checksum?: unknown };
    return answer.identity === identity && answer.checksum === checksumOf(identity, body);
  } catch {
    return false;
  }
}

/** Writes the answer to a request that ran, complete or with the given fault. */
export function writeAnswer(
  response: http.ServerResponse,
  kind: standinTypes.IBackendFaults['answer'],
  identity: string,
  body: Uint8Array,
  headers: http.OutgoingHttpHeaders,
): void {
  const answer = { identity, checksum: checksumOf(identity, body) };
  const padding = kind === 'oversized' ? { padding: 'x'.repeat(OVERSIZED_ANSWER_BYTES) } : {};
  const text = JSON.stringify({ ...answer, ...padding });
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  if (kind !== 'truncated') {
    response.end(text);
    return;
  }
  response.write(text.slice(0, text.length / 2), () => response.socket?.destroy());
}
