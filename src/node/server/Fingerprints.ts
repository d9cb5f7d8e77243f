import * as crypto from 'node:crypto';

const FINGERPRINT_LENGTH = 22;

/** Returns a hash of method, path and body, which identifies a request that is sent again. */
export function fingerprintOf(method: string, path: string, body: Uint8Array): string {
  const hash = crypto.createHash('sha256').update(`${method} ${path}\n`).update(body);
  return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH);
}
