import type * as bunyan from 'bunyan';

import type * as callTypes from '../../common/call/Types';
import type * as types from '../../common/Types';
import type * as serverTypes from '../server/Types';
import * as names from './Names';
import * as refusalLog from './RefusalLog';
import type * as telemetryTypes from './Types';

/** Limit on refusals logged per second. More would cost more time than the calls themselves. */
const LOGGED_REFUSALS_PER_SECOND = 20;

/** Interval at which gauges are sent, in milliseconds. */
const GAUGE_INTERVAL_MS = 10_000;

/** Records the requests of callers and their outcomes in logs, metrics and spans. */
export class Telemetry implements serverTypes.IRequestObserver {
  public readonly refusals: refusalLog.RefusalLog;

  private answeredCount = 0;

  private gaugeTimer: types.IDisposable | undefined;

  private windowStartMs = Number.NEGATIVE_INFINITY;

  private loggedInWindow = 0;

  private suppressed = 0;

  public constructor(
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    private readonly metrics: telemetryTypes.IMetrics | undefined,
    private readonly traces: telemetryTypes.ITraces | undefined,
  ) {
    this.refusals = new refusalLog.RefusalLog(clock);
  }

  /** Number of calls answered since the start of the process. */
  public get answered(): number {
    return this.answeredCount;
  }

  public onStarted(call: callTypes.ICall): void {
    this.traces?.startCall(call);
  }

  public onAnswered(
    call: callTypes.ICall,
    status: number,
    server: string,
    latencyMs: number,
  ): void {
    const { requestId } = call;
    const service = call.service.name;
    this.answeredCount += 1;
    this.traces?.endCall(requestId, { outcome: 'answered', 'http.response.status_code': status });
    this.metrics?.increment(names.CALL_ANSWERED, [`service:${service}`]);
    this.metrics?.timing(names.CALL_LATENCY, latencyMs, [`service:${service}`]);
    if (this.logger.debug()) {
      const fields = { event: names.CALL_ANSWERED, requestId, service, status, server, latencyMs };
      this.logger.debug(fields, 'call answered');
    }
  }

  public onRefused(record: serverTypes.IRefusalRecord, latencyMs: number): void {
    const { requestId, service, kind, outcome } = record;
    this.refusals.add(record);
    this.traces?.endCall(requestId, { outcome, kind });
    const tags = [`service:${service === '' ? 'none' : service}`, `kind:${kind}`];
    this.metrics?.increment(names.CALL_REFUSED, [...tags, `outcome:${outcome}`]);
    this.logRefusal(record, latencyMs);
  }

  /** Starts to send the gauges returned by `read` at regular intervals. */
  public startGauges(read: () => Readonly<Record<string, number>>): void {
    const { metrics } = this;
    if (metrics === undefined) return;
    this.gaugeTimer = this.clock.setTimer(GAUGE_INTERVAL_MS, () => {
      Object.entries(read()).forEach(([name, value]) => metrics.gauge(name, value));
      this.startGauges(read);
    });
  }

  /** Sends the remaining metrics and spans. */
  public async close(): Promise<void> {
    this.gaugeTimer?.dispose();
    await Promise.allSettled([this.metrics?.close(), this.traces?.close()]);
  }

  private logRefusal(record: serverTypes.IRefusalRecord, latencyMs: number): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.windowStartMs >= 1_000) {
      this.windowStartMs = nowMs;
      this.loggedInWindow = 0;
    }
    if (this.loggedInWindow >= LOGGED_REFUSALS_PER_SECOND) {
      this.suppressed += 1;
      return;
    }
    this.loggedInWindow += 1;
    const { suppressed } = this;
    this.suppressed = 0;
    const fields = { event: names.CALL_REFUSED, ...record, latencyMs, suppressed };
    this.logger.info(fields, 'call refused');
  }
}
