import type * as caller from '../standin/Caller';
import type * as faultFleet from './FaultFleet';

const POLL_INTERVAL_MS = 10;

/** Polls until `condition` returns true. Fails after `timeoutMs`. */
export async function eventually(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 10_000,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs)
      throw new Error(`timed out after ${timeoutMs} ms: ${description}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
}

/** Closed-loop load: each caller sends its next request when the previous one has ended. */
export class Load {
  private running = true;

  private sequence = 0;

  private readonly done: Promise<unknown>;

  /**
   * @param prefix Prefix of the identity of each request.
   * @param chooseUrl Returns the URL of the daemon for the next request.
   */
  public constructor(
    private readonly fleet: faultFleet.FaultFleet,
    private readonly service: string,
    private readonly prefix: string,
    private readonly chooseUrl: (sequence: number) => string,
    callers: number,
    private readonly onEnd: (submission: caller.ISubmission) => void = () => undefined,
  ) {
    this.done = Promise.all(Array.from({ length: callers }, () => this.loop()));
  }

  /** Number of requests sent so far. */
  public get sent(): number {
    return this.sequence;
  }

  /** Waits until `count` more requests have been sent. */
  public async waitForRequests(count: number): Promise<void> {
    const target = this.sequence + count;
    await eventually(`${target} requests sent`, () => this.sequence >= target, 30_000);
  }

  /** Stops sending requests, and waits until those in flight have ended. */
  public async stop(): Promise<void> {
    this.running = false;
    await this.done;
  }

  private async loop(): Promise<void> {
    // A failed test closes its fleet without stopping its load.
    while (this.running && !this.fleet.isClosed) {
      this.sequence += 1;
      const identity = `${this.prefix}-${this.sequence}`;
      const url = this.chooseUrl(this.sequence);
      this.onEnd(await this.fleet.caller.submit(url, { service: this.service, identity }));
    }
  }
}
