import * as callCoordinator from '../../../common/call/CallCoordinator';
import type * as callTypes from '../../../common/call/Types';
import * as manualClock from '../../../common/ManualClock';
import * as checkBudget from '../../../common/policy/CheckBudget';
import * as leastInFlightPolicy from '../../../common/policy/LeastInFlightPolicy';
import type * as policyTypes from '../../../common/policy/Types';
import * as probeBudget from '../../../common/probing/ProbeBudget';
import * as observedTransport from '../../../common/reach/ObservedTransport';
import * as serverReach from '../../../common/reach/ServerReach';
import * as seededRandom from '../../../common/SeededRandom';
import * as requestSuspicion from '../../../common/suspicion/RequestSuspicion';
import type * as tableTypes from '../../../common/table/Types';
import * as fixtures from '../../../common/testing/Fixtures';
import * as serviceSet from '../../ServiceSet';
import * as forwarding from '../Forwarding';

/** How the connections of a daemon to all servers fail. */
export type Cut = 'none' | 'silent' | 'refused';

const CHECK_MS = 1;
const WORK_MS = 40;
const HOP_MS = 2;
const CHECKS_PER_SECOND = 1_000;

/** Outcome of a simulated request. */
export interface ISimulatedRequest {
  readonly daemon: number;
  readonly startMs: number;
  readonly isRepeatable: boolean;
  outcome: callTypes.CallOutcome | undefined;
}

/** Servers as one daemon reaches them. */
class CutTransport implements callTypes.IBackendTransport, callTypes.IServerChecker {
  public cut: Cut = 'none';

  public constructor(
    private readonly clock: manualClock.ManualClock,
    private readonly onRun: (requestId: string) => void,
  ) {}

  public hasIdleConnection(): boolean {
    return true;
  }

  public check(
    _server: tableTypes.IServerRow,
    _healthPath: string,
    timeoutMs: number,
    onReply: (reply: policyTypes.CheckReply) => void,
  ): void {
    const { cut } = this;
    const report = { inFlight: 0, queued: 0, draining: false };
    this.clock.setTimer(cut === 'silent' ? timeoutMs : CHECK_MS, () => {
      if (cut === 'none') onReply({ kind: 'ready', report });
      else onReply({ kind: cut === 'silent' ? 'silent' : 'unreachable' });
    });
  }

  public send(
    call: callTypes.ICall,
    _server: tableTypes.IServerRow,
    listener: callTypes.IAttemptListener,
  ): callTypes.IAttempt {
    const isRefused = this.cut === 'refused';
    if (!isRefused) listener.onSent();
    if (this.cut === 'silent') return { cancel: () => undefined };
    if (!isRefused) this.onRun(call.requestId);
    const timer = this.clock.setTimer(isRefused ? CHECK_MS : WORK_MS, () => {
      if (isRefused) listener.onEnd({ kind: 'not-sent', detail: 'connection refused' });
      else {
        const answer = { status: 200, headers: [], body: new Uint8Array() };
        listener.onEnd({ kind: 'answered', answer });
      }
    });
    return { cancel: () => timer.dispose() };
  }

  public probe(): void {}
}

/** Daemons of which some lose every server while they still reach each other. */
export class CutFleet {
  public readonly clock = new manualClock.ManualClock();

  public readonly requests: ISimulatedRequest[] = [];

  /** Number of times that each request was run. */
  public readonly runs = new Map<string, number>();

  public readonly reaches: serverReach.ServerReach[] = [];

  private readonly transports: CutTransport[] = [];

  private readonly forwardings: forwarding.Forwarding[] = [];

  private readonly random: seededRandom.SeededRandom;

  /** @param domainOf Returns the failure domain of a daemon. */
  public constructor(
    private readonly size: number,
    seed: number,
    private readonly domainOf: (daemon: number) => string,
  ) {
    this.random = new seededRandom.SeededRandom(seed);
    for (let daemon = 0; daemon < size; daemon += 1) this.addDaemon(daemon);
  }

  public setCut(daemons: readonly number[], cut: Cut): void {
    daemons.forEach((daemon) => {
      (this.transports[daemon] as CutTransport).cut = cut;
    });
  }

  /** Sends requests to random daemons, half of which must not run twice. */
  public play(durationMs: number, perSecond: number): void {
    const stepMs = 1_000 / perSecond;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      this.send(Math.floor(this.random.next() * this.size));
      this.clock.advance(stepMs);
    }
  }

  public dispose(): void {
    this.forwardings.forEach((each) => each.dispose());
  }

  private send(daemon: number): void {
    const isRepeatable = this.random.next() < 0.5;
    const requestId = `${this.requests.length}`;
    const startMs = this.clock.monotonicMs();
    const request: ISimulatedRequest = { daemon, startMs, isRepeatable, outcome: undefined };
    this.requests.push(request);
    const table = this.tableFor(isRepeatable);
    (this.forwardings[daemon] as forwarding.Forwarding).start(
      {
        ...{ requestId, table, method: 'GET', path: '/', headers: [], body: new Uint8Array() },
        service: table.services.get('status') as tableTypes.IServiceRow,
        deadlineMs: startMs + 1_000,
        ...{ depth: 0, retriesSpent: 0, fingerprint: requestId, objectiveAtMs: startMs + 300 },
      },
      (outcome) => {
        request.outcome = outcome;
      },
    );
  }

  private tableFor(idempotent: boolean): tableTypes.ITable {
    const table = fixtures.makeTable({ idempotent, healthPath: '/health' }, 12);
    return { ...table, maxDaemons: this.size };
  }

  private addressOf(daemon: number): string {
    return `10.0.1.${daemon}:1`;
  }

  private addDaemon(daemon: number): void {
    const { clock, random } = this;
    const own = { address: this.addressOf(daemon), failureDomain: this.domainOf(daemon) };
    const transport = new CutTransport(clock, (id) =>
      this.runs.set(id, (this.runs.get(id) ?? 0) + 1),
    );
    const reach = new serverReach.ServerReach(clock);
    const observed = new observedTransport.ObservedTransport(transport, reach);
    const budget = new checkBudget.CheckBudget(clock);
    budget.setRate(CHECKS_PER_SECOND, 1);
    const services = new serviceSet.ServiceSet(
      own.address,
      () => new leastInFlightPolicy.LeastInFlightPolicy(random),
      new probeBudget.ProbeBudget(clock),
      observed,
      clock,
      { checker: observed, budget, random, failureDomain: own.failureDomain, rankOf: () => 0 },
    );
    const table = this.tableFor(true);
    services.update(table);
    const suspicion = new requestSuspicion.RequestSuspicion(clock);
    const each = new forwarding.Forwarding({
      own,
      daemonState: { table, phase: 'ready' },
      services,
      coordinator: new callCoordinator.CallCoordinator(observed, suspicion, clock),
      reach,
      checker: observed,
      takeCheckPermit: () => budget.take(),
      readFleet: () => this.fleetOf(daemon),
      observer: { onForwarded: () => undefined },
      clock,
      random,
    });
    each.update();
    this.transports.push(transport);
    this.reaches.push(reach);
    this.forwardings.push(each);
  }

  private fleetOf(own: number): forwarding.IForwardFleet {
    const others = Array.from({ length: this.size }, (_, daemon) => daemon).filter(
      (daemon) => daemon !== own,
    );
    return {
      livePeers: others.map((daemon) => ({
        address: this.addressOf(daemon),
        failureDomain: this.domainOf(daemon),
      })),
      forwardPeers: {
        forward: (address, request, onReply) => {
          const daemon = others.find((other) => this.addressOf(other) === address) as number;
          const { handler } = this.forwardings[daemon] as forwarding.Forwarding;
          let attempt: callTypes.IAttempt | undefined;
          const timer = this.clock.setTimer(HOP_MS, () => {
            attempt = handler.forward(request, (reply) =>
              this.clock.setTimer(HOP_MS, () => onReply({ kind: 'reply', reply })),
            );
          });
          return {
            cancel: () => {
              timer.dispose();
              attempt?.cancel();
            },
          };
        },
      },
    };
  }
}
