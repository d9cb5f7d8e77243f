import type * as types from '../common/Types';
import * as caller from '../standin/Caller';
import * as requestKeys from '../standin/RequestKeys';
import * as services from './Services';
import * as pauseModule from '../standin/pause';

/** Returns whether the request with this identity must run at most once. */
export function isAtMostOnce(identity: string): boolean {
  return services.SERVICES.some(
    ({ cells }) => cells.idempotent === 'no' && identity.startsWith(cells.name),
  );
}

/**
 * Closed-loop load of the callers of both companies: each caller waits for its answer before it
 * sends the next request.
 */
export class Workload {
  public readonly caller = new caller.Caller();

  private sequence = 0;

  private running = true;

  /** @param urls Returns the daemons to which the platform's balancer currently sends callers. */
  public constructor(
    private readonly urls: () => readonly string[],
    private readonly random: types.IRandom,
  ) {}

  /** Runs the callers. Resolves after `stop`, when the last request has ended. */
  public async run(): Promise<void> {
    const loops = services.SERVICES.flatMap((service) =>
      Array.from({ length: service.callers }, () => this.loop(service)),
    );
    await Promise.all(loops);
  }

  public stop(): void {
    this.running = false;
  }

  /** Obtains a request key from the first daemon that issues one. */
  private async fetchKey(): Promise<{ requestKey?: string }> {
    for (const url of this.urls()) {
      const [requestKey] = await requestKeys.fetchRequestKeys(url, 1);
      if (requestKey !== undefined) return { requestKey };
    }
    return {};
  }

  private async loop(service: services.IDemoService): Promise<void> {
    const { name } = service.cells;
    while (this.running) {
      const urls = this.urls();
      const url = urls[this.random.nextInteger(urls.length)] ?? '';
      this.sequence += 1;
      const identity = `${name}-${this.sequence}`;
      const keys = service.cells.idempotent === 'no' ? await this.fetchKey() : {};
      await this.caller.submit(url, { service: name, identity, ...keys });
      await pauseModule.pause(service.pauseMs * 2 * this.random.next());
    }
  }
}
