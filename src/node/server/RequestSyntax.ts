import type * as http from 'node:http';

/** Characters of a request target: those of a URI (RFC 3986), which are all visible ASCII. */
const TARGET = /^[A-Za-z0-9\-._~:/?#[\]@!$&'()*+,;=%]+$/;

/** A header name: a token (RFC 9110, section 5.6.2). */
const HEADER_NAME = /^[A-Za-z0-9!#$%&'*+\-.^_`|~]+$/;

/**
 * Returns what is wrong with the request target or a header name, or undefined. The parser of
 * Node.js accepts other bytes in them, depending on the processor.
 */
export function findProblem(
  request: Pick<http.IncomingMessage, 'url' | 'rawHeaders'>,
): string | undefined {
  const { url = '', rawHeaders } = request;
  if (!TARGET.test(url)) return 'the target has characters that a URI must not contain';
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!HEADER_NAME.test(rawHeaders[index] as string)) return 'a header name is not a token';
  }
  return undefined;
}
