import type * as types from '../common/Types';
import * as requestKeys from '../standin/RequestKeys';
import type * as faultFleet from './FaultFleet';
import * as pauseModule from '../standin/pause';

const READ_CALLERS = 6;
const ORDER_CALLERS = 4;
const MAX_RESENDS = 2;

/** Load of idempotent reads, and of orders with request keys that are resubmitted at random. */
export class MixedLoad {
  private running = true;

  private sequence = 0;

  private readonly done: Promise<unknown>;

  /** @param balancerTargets Daemons to which the platform's balancer currently sends callers. */
  public constructor(
    private readonly fleet: faultFleet.FaultFleet,
    private readonly balancerTargets: ReadonlySet<number>,
    private readonly random: types.IRandom,
  ) {
    const readLoops = Array.from({ length: READ_CALLERS }, () => this.loop(() => this.read()));
    const orderLoops = Array.from({ length: ORDER_CALLERS }, () => this.loop(() => this.order()));
    this.done = Promise.all([...readLoops, ...orderLoops]);
  }

  public async stop(): Promise<void> {
    this.running = false;
    await this.done;
  }

  private async loop(action: () => Promise<unknown>): Promise<void> {
    while (this.running) {
      await action();
      await pauseModule.pause(5 + 20 * this.random.next());
    }
  }

  private url(): string {
    const targets = [...this.balancerTargets];
    return this.fleet.daemon(targets[this.random.nextInteger(targets.length)] ?? 0).url;
  }

  private read(): Promise<unknown> {
    this.sequence += 1;
    const request = { service: 'reads', identity: `read-${this.sequence}` };
    return this.fleet.caller.submit(this.url(), request);
  }

  private async order(): Promise<void> {
    const [requestKey] = await requestKeys.fetchRequestKeys(this.url(), 1);
    if (requestKey === undefined) return;
    this.sequence += 1;
    const request = { service: 'orders', identity: `order-${this.sequence}`, requestKey };
    const submit = () => this.fleet.caller.submit(this.url(), request);
    const isConcurrent = this.random.next() < 0.3;
    let [last] = await Promise.all([submit(), ...(isConcurrent ? [submit()] : [])]);
    for (let resend = 0; resend < MAX_RESENDS; resend += 1) {
      const shouldResend = last?.outcome === 'unknown' || this.random.next() < 0.1;
      if (shouldResend) last = await submit();
    }
  }
}
