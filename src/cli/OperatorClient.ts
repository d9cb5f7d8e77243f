import * as undici from 'undici';

import type * as types from '../common/Types';

/** Time for an answer of the daemon, in milliseconds. */
const TIMEOUT_MS = 5_000;

/** An answer of a daemon to its operators. */
export interface IOperatorAnswer {
  readonly status: number;
  readonly content: unknown;
}

/** Asks the operators' endpoint of a daemon. The error is a message for the operator. */
export async function ask(
  address: string,
  path: string,
): Promise<types.Result<IOperatorAnswer, string>> {
  try {
    const reply = await undici.request(`http://${address}${path}`, {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    return { ok: true, value: { status: reply.statusCode, content: await reply.body.json() } };
  } catch (error) {
    return { ok: false, error: `no daemon answers at ${address}: ${(error as Error).message}` };
  }
}
