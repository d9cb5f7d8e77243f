import * as undici from 'undici';

/** Obtains request keys from the daemon at `url`. Returns none if the daemon does not issue any. */
export async function fetchRequestKeys(url: string, count: number): Promise<readonly string[]> {
  try {
    const reply = await undici.request(`${url}/.lavenderspar/request-keys?count=${count}`, {
      method: 'POST',
      headersTimeout: 2_000,
      bodyTimeout: 2_000,
    });
    const { keys = [] } = (await reply.body.json()) as { keys?: readonly string[] };
    return reply.statusCode === 200 ? keys : [];
  } catch {
    return [];
  }
}
