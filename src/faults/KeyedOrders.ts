import type * as caller from '../standin/Caller';
import * as requestKeys from '../standin/RequestKeys';
import type * as faultFleet from './FaultFleet';

/** Submits non-idempotent requests with request keys. A request keeps its key across retries. */
export class KeyedOrders {
  public constructor(
    private readonly fleet: faultFleet.FaultFleet,
    private readonly service: string,
  ) {}

  /** Obtains the keys of `count` requests from the daemon `issuer`. */
  public async fetchKeys(issuer: number, count: number): Promise<readonly string[]> {
    return requestKeys.fetchRequestKeys(this.fleet.daemon(issuer).url, count);
  }

  /** Submits the request of each key to the daemon `index`. */
  public submit(
    index: number,
    keys: readonly string[],
    timeoutMs?: number,
  ): Promise<readonly caller.ISubmission[]> {
    const { url } = this.fleet.daemon(index);
    return Promise.all(
      keys.map((requestKey) =>
        this.fleet.caller.submit(url, {
          service: this.service,
          identity: `order ${requestKey}`,
          requestKey,
          ...(timeoutMs === undefined ? {} : { timeoutMs }),
        }),
      ),
    );
  }
}

/** Returns whether the request with this identity must run at most once. */
export function isOrder(identity: string): boolean {
  return identity.startsWith('order');
}
