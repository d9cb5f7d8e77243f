import * as api from '@opentelemetry/api';
import * as core from '@opentelemetry/core';
import * as exporter from '@opentelemetry/exporter-trace-otlp-http';
import * as resources from '@opentelemetry/resources';
import * as sdk from '@opentelemetry/sdk-trace-base';

import type * as callTypes from '../../common/call/Types';
import type * as types from '../../common/Types';
import * as headers from '../dispatch/Headers';
import * as names from './Names';
import type * as telemetryTypes from './Types';

/** Timeout of each export, including the final one at shutdown, in milliseconds. */
const EXPORT_TIMEOUT_MS = 2_000;

const TRACE_PARENT_VERSION = '00';

function traceParentOf({ traceId, spanId, traceFlags }: api.SpanContext): string {
  return `${TRACE_PARENT_VERSION}-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, '0')}`;
}

function isSampled({ traceFlags }: api.SpanContext): boolean {
  return (traceFlags & api.TraceFlags.SAMPLED) !== 0;
}

interface ISampledCall {
  readonly span: api.Span;
  readonly context: api.Context;
}

interface IUnsampledCall {
  readonly unsampled: telemetryTypes.ITracedAttempt;
}

/** Creates the processor that sends spans to an OTLP collector over HTTP. */
export function makeOtlpProcessor(url: string): sdk.SpanProcessor {
  return new sdk.BatchSpanProcessor(
    new exporter.OTLPTraceExporter({ url, timeoutMillis: EXPORT_TIMEOUT_MS }),
    { exportTimeoutMillis: EXPORT_TIMEOUT_MS },
  );
}

/** Records a span for each call and for each attempt at a backend server. */
export class OpenTelemetryTraces implements telemetryTypes.ITraces {
  private readonly provider: sdk.BasicTracerProvider;

  private readonly tracer: api.Tracer;

  private readonly idGenerator = new sdk.RandomIdGenerator();

  private readonly calls = new Map<string, ISampledCall | IUnsampledCall>();

  /** @param sampleFraction Fraction of the calls without a `traceparent` that are sampled. */
  public constructor(
    instance: string,
    private readonly sampleFraction: number,
    processor: sdk.SpanProcessor,
    private readonly random: types.IRandom,
  ) {
    this.provider = new sdk.BasicTracerProvider({
      resource: resources.resourceFromAttributes({
        'service.name': 'lavenderspar',
        'service.instance.id': instance,
      }),
      spanProcessors: [processor],
    });
    this.tracer = this.provider.getTracer('lavenderspar');
  }

  public startCall(call: callTypes.ICall): void {
    const received = headers.find(call.headers, headers.TRACE_PARENT);
    const parent = received === undefined ? null : core.parseTraceParent(received);
    if (parent !== null && !isSampled(parent)) return;
    if (parent === null && this.random.next() >= this.sampleFraction) {
      this.calls.set(call.requestId, this.makeUnsampled());
      return;
    }
    const root =
      parent === null
        ? api.ROOT_CONTEXT
        : api.trace.setSpanContext(api.ROOT_CONTEXT, { ...parent, isRemote: true });
    const span = this.tracer.startSpan(
      names.CALL,
      {
        kind: api.SpanKind.SERVER,
        attributes: { 'request.id': call.requestId, service: call.service.name },
      },
      root,
    );
    this.calls.set(call.requestId, { span, context: api.trace.setSpan(root, span) });
  }

  public endCall(requestId: string, attributes: Readonly<Record<string, string | number>>): void {
    const call = this.calls.get(requestId);
    if (call === undefined) return;
    this.calls.delete(requestId);
    if ('unsampled' in call) return;
    call.span.setAttributes({ ...attributes });
    if (attributes.outcome !== 'answered') call.span.setStatus({ code: api.SpanStatusCode.ERROR });
    call.span.end();
  }

  public startAttempt(
    requestId: string,
    server: string,
  ): telemetryTypes.ITracedAttempt | undefined {
    const call = this.calls.get(requestId);
    if (call === undefined) return undefined;
    if ('unsampled' in call) return call.unsampled;
    const span = this.tracer.startSpan(
      names.ATTEMPT,
      { kind: api.SpanKind.CLIENT, attributes: { 'server.address': server } },
      call.context,
    );
    return {
      traceParent: traceParentOf(span.spanContext()),
      end: (result, attributes) => {
        span.setAttributes({ result, ...attributes });
        if (result !== 'answered') span.setStatus({ code: api.SpanStatusCode.ERROR });
        span.end();
      },
    };
  }

  /**
   * An unsampled call costs no span. It still carries a `traceparent`: without one, each daemon
   * deeper in the call tree would make its own sampling decision and record partial traces.
   */
  private makeUnsampled(): IUnsampledCall {
    const traceParent = traceParentOf({
      traceId: this.idGenerator.generateTraceId(),
      spanId: this.idGenerator.generateSpanId(),
      traceFlags: api.TraceFlags.NONE,
    });
    return { unsampled: { traceParent, end: () => undefined } };
  }

  /** Sends the remaining spans. An unresponsive collector delays this by 2 s at most. */
  public async close(): Promise<void> {
    await this.provider.shutdown();
  }
}
