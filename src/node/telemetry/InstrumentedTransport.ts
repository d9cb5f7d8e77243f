import type * as callTypes from '../../common/call/Types';
import type * as policyTypes from '../../common/policy/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as headers from '../dispatch/Headers';
import * as names from './Names';
import type * as telemetryTypes from './Types';

function withTraceParent(call: callTypes.ICall, traceParent: string): callTypes.ICall {
  const others = headers.withoutHopByHop(call.headers, new Set([headers.TRACE_PARENT]));
  return { ...call, headers: [...others, headers.TRACE_PARENT, traceParent] };
}

/** Wraps a transport, and records metrics and spans of its attempts and metrics of its probes. */
export class InstrumentedTransport implements callTypes.IBackendTransport {
  public constructor(
    private readonly inner: callTypes.IBackendTransport,
    private readonly metrics: telemetryTypes.IMetrics | undefined,
    private readonly traces: telemetryTypes.ITraces | undefined,
    private readonly clock: types.IClock,
  ) {}

  public send(
    call: callTypes.ICall,
    server: tableTypes.IServerRow,
    listener: callTypes.IAttemptListener,
  ): callTypes.IAttempt {
    const startMs = this.clock.monotonicMs();
    const traced = this.traces?.startAttempt(call.requestId, server.address);
    let ended = false;
    const end = (result: string, status?: number) => {
      if (ended) return;
      ended = true;
      const latencyMs = this.clock.monotonicMs() - startMs;
      traced?.end(result, status === undefined ? {} : { 'http.response.status_code': status });
      const tags = [`service:${call.service.name}`, `result:${result}`];
      this.metrics?.increment(names.ATTEMPT_ENDED, tags);
      this.metrics?.timing(names.ATTEMPT_LATENCY, latencyMs, tags);
    };
    const outgoingCall = traced === undefined ? call : withTraceParent(call, traced.traceParent);
    const attempt = this.inner.send(outgoingCall, server, {
      mayStart: () => listener.mayStart(),
      mayAbandon: () => listener.mayAbandon(),
      onSent: () => listener.onSent(),
      onLoadReport: (report) => listener.onLoadReport(report),
      onEnd: (outcome) => {
        const status = outcome.kind === 'answered' ? outcome.answer.status : undefined;
        end(outcome.kind === 'lost' ? outcome.reason : outcome.kind, status);
        listener.onEnd(outcome);
      },
    });
    return {
      cancel: () => {
        attempt.cancel();
        end('cancelled');
      },
    };
  }

  public probe(
    server: tableTypes.IServerRow,
    timeoutMs: number,
    onReply: (report: policyTypes.ILoadReport | undefined) => void,
  ): void {
    this.inner.probe(server, timeoutMs, (report) => {
      const result = report === undefined ? 'failed' : 'answered';
      this.metrics?.increment(names.PROBE_ENDED, [`service:${server.service}`, `result:${result}`]);
      onReply(report);
    });
  }
}
