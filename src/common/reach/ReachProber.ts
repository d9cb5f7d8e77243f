import type * as callTypes from '../call/Types';
import type * as tableTypes from '../table/Types';
import type * as types from '../Types';
import type * as serverReach from './ServerReach';

/** Interval between checks while a service is out of reach, in milliseconds. */
const PROBE_INTERVAL_MS = 200;

/** Timeout of a check, in milliseconds. */
const CHECK_TIMEOUT_MS = 1_000;

/** A service whose servers may be checked. */
export interface IProbedService {
  readonly healthPath: string;
  /** Servers that may be checked now. */
  readonly servers: readonly tableTypes.IServerRow[];
}

/** Checks one server of each service that is out of reach, in intervals, until one replies. */
export class ReachProber implements types.IDisposable {
  private timer: types.IDisposable | undefined;

  private readonly subscription: types.IDisposable;

  /** @param takePermit Takes a permit of the budget of checks, if there is one. */
  public constructor(
    private readonly reach: serverReach.ServerReach,
    private readonly checker: callTypes.IServerChecker,
    private readonly findService: (name: string) => IProbedService | undefined,
    private readonly takePermit: () => boolean,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    this.subscription = reach.onChanged(({ isReachable }) => {
      if (!isReachable) this.schedule();
    });
  }

  public dispose(): void {
    this.timer?.dispose();
    this.subscription.dispose();
  }

  private schedule(): void {
    this.timer ??= this.clock.setTimer(PROBE_INTERVAL_MS, () => this.probe());
  }

  private probe(): void {
    this.timer = undefined;
    const { lostServices } = this.reach;
    if (lostServices.length === 0) return;
    lostServices.forEach((name) => this.checkOneOf(name));
    this.schedule();
  }

  private checkOneOf(name: string): void {
    const service = this.findService(name);
    if (service === undefined || service.servers.length === 0 || !this.takePermit()) return;
    const { servers, healthPath } = service;
    const server = servers[Math.floor(this.random.next() * servers.length)];
    if (server === undefined) return;
    this.checker.check(server, healthPath, CHECK_TIMEOUT_MS, () => undefined);
  }
}
