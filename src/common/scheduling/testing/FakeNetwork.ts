import type * as callTypes from '../../call/Types';
import type * as policyTypes from '../../policy/Types';
import type * as tableTypes from '../../table/Types';
import type * as types from '../../Types';
import type * as fakeServer from './FakeServer';

/** One-way delay between a daemon and a server, in milliseconds. */
const DELAY_MS = 2;

/** Connects daemons to fake servers. */
export class FakeNetwork implements callTypes.IBackendTransport, callTypes.IServerChecker {
  public checks = 0;

  /** Number of requests that servers rejected. */
  public rejected = 0;

  public readonly servers = new Map<string, fakeServer.FakeServer>();

  /** @param workOf Returns the service time of a call on an idle server. */
  public constructor(
    private readonly clock: types.IClock,
    private readonly workOf: (call: callTypes.ICall) => number,
  ) {}

  public hasIdleConnection(): boolean {
    return true;
  }

  public probe(
    _server: tableTypes.IServerRow,
    _timeoutMs: number,
    onReply: (report: policyTypes.ILoadReport | undefined) => void,
  ): void {
    onReply(undefined);
  }

  public check(
    row: tableTypes.IServerRow,
    _path: string,
    _timeoutMs: number,
    onReply: (reply: policyTypes.CheckReply) => void,
  ): void {
    this.checks += 1;
    this.clock.setTimer(DELAY_MS, () => {
      const server = this.servers.get(row.address);
      const isReached = server !== undefined && !server.isDown;
      const reply: policyTypes.CheckReply = isReached
        ? { kind: 'ready', report: server.report }
        : { kind: 'unreachable' };
      this.clock.setTimer(DELAY_MS, () => onReply(reply));
    });
  }

  public send(
    call: callTypes.ICall,
    row: tableTypes.IServerRow,
    listener: callTypes.IAttemptListener,
  ): callTypes.IAttempt {
    let cancelWork: (() => void) | undefined;
    let cancelled = false;
    const reply = (report: policyTypes.ILoadReport, outcome: callTypes.AttemptOutcome) =>
      this.clock.setTimer(DELAY_MS, () => {
        if (cancelled) return;
        listener.onLoadReport(report);
        listener.onEnd(outcome);
      });
    listener.onSent();
    this.clock.setTimer(DELAY_MS, () => {
      if (cancelled) return;
      const server = this.servers.get(row.address);
      if (server === undefined || server.isDown) {
        listener.onEnd({ kind: 'not-sent', detail: 'unreachable' });
        return;
      }
      cancelWork = server.submit(this.workOf(call), () => {
        const answer = { status: 200, headers: [], body: new Uint8Array() };
        reply(server.report, { kind: 'answered', answer });
      });
      if (cancelWork !== undefined) return;
      this.rejected += 1;
      reply(server.report, { kind: 'refused', draining: false });
    });
    return {
      cancel: () => {
        cancelled = true;
        cancelWork?.();
      },
    };
  }
}
