import * as undici from 'undici';

import * as readBody from '../readBody';

/** One value of the configuration service. */
export interface IPublishedValue {
  readonly revision: number;
  readonly text: string;
}

/** Result of a read. `unchanged` means that the value is no newer than the one known. */
export type ReadResult =
  | { readonly kind: 'value'; readonly value: IPublishedValue }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'failed'; readonly detail: string };

const READ_TIMEOUT_MS = 2_000;
const MAX_VALUE_BYTES = 1024 * 1024;

/** Reads values from the platform's configuration service. */
export class ConfigurationClient {
  private readonly agent = new undici.Agent({
    connections: 2,
    pipelining: 1,
    maxResponseSize: MAX_VALUE_BYTES,
  });

  public constructor(private readonly baseUrl: string) {}

  /**
   * Reads the value called `name`.
   * @param after Revision already known; a value that is no newer counts as unchanged.
   */
  public async read(name: 'table' | 'vms', after: number): Promise<ReadResult> {
    try {
      const url = `${this.baseUrl}/values/${name}?after=${after}&waitMs=0`;
      const reply = await undici.request(url, {
        dispatcher: this.agent,
        signal: AbortSignal.timeout(READ_TIMEOUT_MS),
      });
      const text = (await readBody.readBody(reply.body, MAX_VALUE_BYTES)).toString();
      if (reply.statusCode === 304) return { kind: 'unchanged' };
      if (reply.statusCode !== 200) {
        return {
          kind: 'failed',
          detail: `configuration service responded with status ${reply.statusCode}`,
        };
      }
      const revision = Number(reply.headers.revision);
      if (!Number.isSafeInteger(revision)) {
        return { kind: 'failed', detail: 'configuration service sent no valid revision' };
      }
      return { kind: 'value', value: { revision, text } };
    } catch (error) {
      return { kind: 'failed', detail: (error as Error).message };
    }
  }

  public dispose(): void {
    this.agent.destroy().catch(() => undefined);
  }
}
