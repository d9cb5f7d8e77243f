import * as undici from 'undici';

import type * as types from '../common/Types';

/** Timeout of a request to the daemon, in milliseconds. */
const TIMEOUT_MS = 5_000;

/** Response of the operators' endpoint of a daemon. */
export interface IOperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Sends a GET request to the operators' endpoint. The error is a message for the operator. */
export async function get(
  address: string,
  path: string,
): Promise<types.Result<IOperatorResponse, string>> {
  try {
    const reply = await undici.request(`http://${address}${path}`, {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    return { ok: true, value: { status: reply.statusCode, body: await reply.body.json() } };
  } catch (error) {
    return { ok: false, error: `no daemon answers at ${address}: ${(error as Error).message}` };
  }
}
