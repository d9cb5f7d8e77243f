import type * as bunyan from 'bunyan';
import * as promClient from 'prom-client';

import type * as callTypes from '../../common/call/Types';
import type * as directoryTypes from '../../common/directory/Types';
import type * as reachTypes from '../../common/reach/Types';
import type * as restraintTypes from '../../common/restraint/Types';
import type * as schedulingTypes from '../../common/scheduling/Types';
import type * as suspicionTypes from '../../common/suspicion/Types';
import type * as types from '../../common/Types';
import type * as forwardTypes from '../forwarding/Types';
import type * as connectionLimits from '../server/ConnectionLimits';
import type * as serverTypes from '../server/Types';
import * as logRateLimiter from './LogRateLimiter';
import * as names from './Names';

/** Limit on log lines of each kind per second, which take at most 1 ms of CPU time per kind. */
const LINES_PER_SECOND = 50;

/** Upper bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/**
 * Logs and counts each decision about a request, with the inputs that led to it. The log lines of
 * one request share its id.
 */
export class DecisionLog
  implements serverTypes.IRequestObserver, callTypes.ICallObserver, forwardTypes.IForwardObserver
{
  private readonly registry = new promClient.Registry();

  private readonly rateLimiter: logRateLimiter.LogRateLimiter;

  private readonly outcomes = new promClient.Counter({
    name: 'lavenderspar_requests_total',
    help: 'Requests of callers by service, outcome and reason',
    labelNames: ['service', 'outcome', 'reason'],
    registers: [this.registry],
  });

  private readonly latency = new promClient.Histogram({
    name: 'lavenderspar_request_seconds',
    help: 'Time from the arrival of a request to its response',
    labelNames: ['service', 'outcome'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly attempts = new promClient.Counter({
    name: 'lavenderspar_attempts_total',
    help: 'Attempts at backend servers by service and how they ended',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });

  private readonly withoutRoom = new promClient.Counter({
    name: 'lavenderspar_calls_without_room_total',
    help: 'Calls refused because no server had room, by service, priority and cause',
    labelNames: ['service', 'priority', 'cause'],
    registers: [this.registry],
  });

  private readonly secondSends = new promClient.Counter({
    name: 'lavenderspar_second_sends_total',
    help: 'Calls sent to a second server since the first was slow, and those it answered first',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });

  private readonly signals = new promClient.Counter({
    name: 'lavenderspar_server_signals_total',
    help: 'Changes of what servers state about the requests that they want',
    labelNames: ['source'],
    registers: [this.registry],
  });

  private readonly losses = new promClient.Counter({
    name: 'lavenderspar_server_losses_total',
    help: 'Requests that got no answer, by whether their server had ended',
    labelNames: ['service', 'verdict'],
    registers: [this.registry],
  });

  private readonly forwarded = new promClient.Counter({
    name: 'lavenderspar_forwarded_calls_total',
    help: 'Calls sent to a peer that reaches the servers of the service, by how that ended',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });

  private readonly closures = new promClient.Counter({
    name: 'lavenderspar_connections_closed_total',
    help: 'Connections of callers that were closed because of a limit, by cause',
    labelNames: ['cause'],
    registers: [this.registry],
  });

  private readonly droppedLines = new promClient.Counter({
    name: 'lavenderspar_log_lines_dropped_total',
    help: 'Log lines that the limit for each second left out',
    labelNames: ['event'],
    registers: [this.registry],
  });

  private evacuatedDomains: ReadonlySet<string> = new Set();

  public constructor(
    private readonly logger: bunyan,
    clock: types.IClock,
  ) {
    this.rateLimiter = new logRateLimiter.LogRateLimiter(LINES_PER_SECOND, clock);
  }

  /** Returns all metrics in the Prometheus text format. */
  public metrics(): Promise<string> {
    return this.registry.metrics();
  }

  /** Adds a gauge that is read when the metrics are served. */
  public addGauge(name: string, help: string, read: () => number): void {
    const gauge: promClient.Gauge = new promClient.Gauge({
      name: `lavenderspar_${name}`,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  /** Adds a counter whose values, by the label `cause`, are read when the metrics are served. */
  public addCounts(name: string, help: string, read: () => ReadonlyMap<string, number>): void {
    const counter: promClient.Counter = new promClient.Counter({
      name: `lavenderspar_${name}`,
      help,
      labelNames: ['cause'],
      registers: [this.registry],
      collect: () => {
        counter.reset();
        read().forEach((count, cause) => counter.inc({ cause }, count));
      },
    });
  }

  /** Logs how many connections to backend servers were opened and closed, by cause. */
  public recordConnections(counts: ReadonlyMap<string, number>): void {
    this.log(names.CONNECTIONS_COUNTED, { counts: Object.fromEntries(counts) });
  }

  public onStarted(): void {}

  public onAnswered(
    call: callTypes.ICall,
    status: number,
    server: string,
    latencyMs: number,
  ): void {
    const service = call.service.name;
    this.outcomes.inc({ service, outcome: 'answered', reason: `${status}` });
    this.latency.observe({ service, outcome: 'answered' }, latencyMs / 1_000);
    this.log(names.CALL_ANSWERED, {
      requestId: call.requestId,
      service,
      configurationVersion: call.configurationVersion,
      route: call.route,
      tableVersion: call.table.version,
      status,
      server,
      latencyMs: Math.round(latencyMs),
    });
  }

  public onRefused(record: serverTypes.IRefusalRecord, latencyMs: number): void {
    const { service, outcome, kind: reason } = record;
    this.outcomes.inc({ service, outcome, reason });
    this.latency.observe({ service, outcome }, latencyMs / 1_000);
    this.log(names.CALL_REFUSED, { ...record, latencyMs: Math.round(latencyMs) });
  }

  public onAttemptStarted(call: callTypes.ICall, attempt: callTypes.IAttemptChoice): void {
    this.log(names.ATTEMPT_STARTED, {
      requestId: call.requestId,
      service: call.service.name,
      ...attempt,
    });
  }

  public onAttemptEnded(
    call: callTypes.ICall,
    server: string,
    outcome: callTypes.AttemptOutcome | undefined,
    latencyMs: number,
  ): void {
    const result = outcome?.kind ?? 'cancelled';
    this.attempts.inc({ service: call.service.name, result });
    if (outcome?.kind === 'answered') return;
    this.log(names.ATTEMPT_ENDED, {
      requestId: call.requestId,
      server,
      result,
      reason: outcome !== undefined && 'reason' in outcome ? outcome.reason : undefined,
      detail: outcome !== undefined && 'detail' in outcome ? outcome.detail : undefined,
      latencyMs: Math.round(latencyMs),
    });
  }

  public onRetryDecided(call: callTypes.ICall, decision: callTypes.IRetryDecision): void {
    this.log(names.RETRY_DECIDED, { requestId: call.requestId, ...decision });
  }

  public onWaitEnded(call: callTypes.ICall, refusal: schedulingTypes.IOverload): void {
    const { requestId, priority = 0 } = call;
    const service = call.service.name;
    const { cause, waitedMs, retryAfterMs } = refusal;
    this.withoutRoom.inc({ service, priority, cause });
    this.log(names.CALL_WITHOUT_ROOM, {
      ...{ requestId, service, route: call.route, priority, cause },
      waitedMs: Math.round(waitedMs),
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  public onSecondSend(call: callTypes.ICall, result: 'sent' | 'won'): void {
    this.secondSends.inc({ service: call.service.name, result });
    this.log(names.SECOND_SEND, { requestId: call.requestId, result });
  }

  public onLossDecided(
    call: callTypes.ICall,
    server: string,
    verdict: callTypes.LossVerdict,
  ): void {
    this.losses.inc({ service: call.service.name, verdict });
    const { requestId, fingerprint } = call;
    this.log(names.SERVER_LOSS, { requestId, fingerprint, server, verdict });
  }

  /** Logs that this daemon learned of a further server that was lost with a request in flight. */
  public recordSuspicion(change: suspicionTypes.ISuspicionChange): void {
    this.log(names.REQUEST_SUSPICION, { ...change });
  }

  public onForwarded(
    call: callTypes.ICall,
    helper: string,
    result: forwardTypes.ForwardResult['kind'],
  ): void {
    const service = call.service.name;
    this.forwarded.inc({ service, result });
    this.log(names.CALL_FORWARDED, { requestId: call.requestId, service, helper, result });
  }

  /** Logs which failure domains operators have evacuated, and which they have taken back. */
  public recordEvacuations(
    domains: ReadonlySet<string>,
    servers: readonly directoryTypes.IRegistration[],
  ): void {
    const countServers = (failureDomain: string) =>
      servers.filter((server) => server.failureDomain === failureDomain).length;
    [...domains]
      .filter((domain) => !this.evacuatedDomains.has(domain))
      .forEach((failureDomain) => {
        const count = countServers(failureDomain);
        const fields = { event: names.EVACUATION_BEGUN, failureDomain, servers: count };
        if (count > 0)
          this.logger.info(fields, 'servers of an evacuated failure domain get no requests');
        else this.logger.warn(fields, 'the evacuated failure domain has no servers');
      });
    [...this.evacuatedDomains]
      .filter((domain) => !domains.has(domain))
      .forEach((failureDomain) => {
        const fields = {
          event: names.EVACUATION_ENDED,
          failureDomain,
          servers: countServers(failureDomain),
        };
        this.logger.info(fields, 'failure domain taken back');
      });
    this.evacuatedDomains = new Set(domains);
  }

  /** Logs that this daemon reaches the servers of a service again, or does not any longer. */
  public recordReach({ isReachable, ...change }: reachTypes.IReachChange): void {
    const event = isReachable ? names.SERVICE_IN_REACH : names.SERVICE_OUT_OF_REACH;
    this.logger.warn({ event, ...change }, 'whether servers answer this daemon has changed');
  }

  /** Logs and counts that a server states something new about the requests that it wants. */
  public recordSignal(change: restraintTypes.ISignalChange): void {
    const { server, source, requestId, signals, recentRequests, sharePerSecond } = change;
    this.signals.inc({ source });
    this.log(names.SERVER_SIGNAL, {
      requestId,
      server: server.address,
      instance: server.instance,
      source,
      ...signals,
      recentRequests,
      sharePerSecond,
    });
  }

  /** Logs that a server has become cold, is cold for longer than known before, or is warm again. */
  public recordCold(change: restraintTypes.IColdChange): void {
    const { server, source, coldMs, sharePerSecond } = change;
    const { address, instance } = server;
    if (coldMs === 0) this.log(names.SERVER_WARM, { server: address, instance, source });
    else {
      this.log(names.SERVER_COLD, {
        server: address,
        instance,
        source,
        coldMs: Math.round(coldMs),
        sharePerSecond,
      });
    }
  }

  /** Logs and counts that a connection of a caller was closed because of a limit. */
  public recordClosure(closure: connectionLimits.IClosure): void {
    this.closures.inc({ cause: closure.cause });
    this.log(names.CONNECTION_CLOSED, { ...closure });
  }

  /** Logs that the process was short of processor time. */
  public recordDelay(delayMs: number): void {
    this.log(names.PROCESS_DELAYED, { delayMs: Math.round(delayMs) });
  }

  private log(event: string, fields: Readonly<Record<string, unknown>>): void {
    const dropped = this.rateLimiter.admit(event);
    if (dropped === undefined) {
      this.droppedLines.inc({ event });
      return;
    }
    this.logger.info({ event, ...fields, droppedBefore: dropped === 0 ? undefined : dropped });
  }
}
