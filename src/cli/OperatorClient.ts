import * as undici from 'undici';

import type * as types from '../common/Types';

/** Time for an answer of the daemon, in milliseconds. */
const TIMEOUT_MS = 5_000;

/** An answer of a daemon to its operators. */
export interface IOperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Asks the operators' endpoint of a daemon. The error is a message for the operator. */
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
