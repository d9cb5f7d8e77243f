import * as dgram from 'node:dgram';
import * as nodeEvents from 'node:events';

import * as sdk from '@opentelemetry/sdk-trace-base';
import * as bunyan from 'bunyan';

import type * as callTypes from '../../common/call/Types';
import * as manualClock from '../../common/ManualClock';
import * as seededRandom from '../../common/SeededRandom';
import type * as tableTypes from '../../common/table/Types';
import * as fakeTransport from '../../common/testing/FakeTransport';
import * as instrumentedTransport from './InstrumentedTransport';
import * as openTelemetryTraces from './OpenTelemetryTraces';
import * as statsdMetrics from './StatsdMetrics';
import * as telemetryModule from './Telemetry';

const PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';
const SERVER = { address: '10.0.0.1:80', service: 'status' } as tableTypes.IServerRow;
const ANSWER = { status: 200, headers: [], body: new Uint8Array() };

function callWith(headers: string[]): callTypes.ICall {
  const service = { name: 'status' } as tableTypes.IServiceRow;
  return { requestId: 'request', service, headers } as unknown as callTypes.ICall;
}

function build() {
  const clock = new manualClock.ManualClock();
  const lines: Record<string, unknown>[] = [];
  const stream = { write: (line: string) => lines.push(JSON.parse(line) as never) };
  const logger = bunyan.createLogger({ name: 'test', level: 'info', stream: stream as never });
  const exported = new sdk.InMemorySpanExporter();
  const random = new seededRandom.SeededRandom(1);
  const processor = new sdk.SimpleSpanProcessor(exported);
  const traces = new openTelemetryTraces.OpenTelemetryTraces('10.0.0.9:1', 0, processor, random);
  const telemetry = new telemetryModule.Telemetry(logger, clock, undefined, traces);
  const inner = new fakeTransport.FakeTransport();
  const transport = new instrumentedTransport.InstrumentedTransport(
    inner,
    undefined,
    traces,
    clock,
  );
  return { clock, lines, exported, traces, telemetry, inner, transport };
}

function refusal(requestId: string) {
  const kind = 'overloaded' as const;
  const outcome = 'not-run' as const;
  return { requestId, service: 'a', kind, outcome, detail: '', dispatched: false, tableVersion: 1 };
}

const LISTENER = {
  mayStart: () => true,
  mayAbandon: () => true,
  onSent: () => undefined,
  onLoadReport: () => undefined,
  onEnd: () => undefined,
};

// Guards against a trace that breaks at the daemon.
test('the trace of the caller continues through the call to each attempt', () => {
  const { exported, telemetry, inner, transport } = build();
  const call = callWith(['traceparent', PARENT, 'x', 'y']);
  telemetry.onStarted(call);
  transport.send(call, SERVER, LISTENER).cancel();
  transport.send(call, SERVER, LISTENER);
  inner.attempts[1]?.listener.onEnd({ kind: 'answered', answer: ANSWER });
  telemetry.onAnswered(call, 200, SERVER.address, 1);
  const spans = exported.getFinishedSpans();
  expect(spans.map(({ name }) => name)).toEqual(['attempt', 'attempt', 'call']);
  const [cancelled, answered, root] = spans;
  expect(root?.parentSpanContext?.spanId).toBe('b7ad6b7169203331');
  expect(answered?.parentSpanContext?.spanId).toBe(root?.spanContext().spanId);
  expect([cancelled, answered].map((span) => span?.attributes.result)).toEqual([
    'cancelled',
    'answered',
  ]);
  const { traceId, spanId } = answered?.spanContext() ?? {};
  expect(traceId).toBe('0af7651916cd43dd8448eb211c80319c');
  expect(inner.attempts[1]?.call.headers).toEqual([
    'x',
    'y',
    'traceparent',
    `00-${traceId}-${spanId}-01`,
  ]);
});

test('a call without a trace is sampled as configured, and a malformed parent is replaced', () => {
  const { exported, telemetry, inner, transport } = build();
  const call = callWith(['traceparent', 'nonsense']);
  telemetry.onStarted(call);
  transport.send(call, SERVER, LISTENER);
  telemetry.onRefused(refusal('request'), 1);
  expect(exported.getFinishedSpans()).toHaveLength(0);
  expect(inner.attempts[0]?.call.headers[1]).toMatch(/^00-[0-9a-f]{32}-[0-9a-f]{16}-00$/);
  const unsampled = callWith(['traceparent', PARENT.replace(/01$/, '00')]);
  telemetry.onStarted(unsampled);
  transport.send(unsampled, SERVER, LISTENER);
  expect(inner.attempts[1]?.call.headers).toEqual(unsampled.headers);
});

test('refusals are logged with their request id, at a bounded rate', () => {
  const { clock, lines, telemetry } = build();
  for (let count = 0; count < 25; count += 1) telemetry.onRefused(refusal(`r${count}`), 1);
  expect(lines).toHaveLength(20);
  expect(lines[0]).toMatchObject({ event: 'call.refused', requestId: 'r0', kind: 'overloaded' });
  clock.advance(1_000);
  telemetry.onRefused(refusal('later'), 1);
  expect(lines[20]).toMatchObject({ requestId: 'later', suppressed: 5 });
});

test('the refusal log is bounded, lists the newest first and counts all refusals', () => {
  const { telemetry } = build();
  for (let count = 0; count < 450; count += 1) telemetry.onRefused(refusal(`r${count}`), 1);
  const { recent, totals } = telemetry.refusals;
  expect(recent).toHaveLength(200);
  expect([recent[0]?.requestId, recent[199]?.requestId]).toEqual(['r449', 'r250']);
  expect(totals).toEqual({ overloaded: 450 });
});

test('counts of many calls are sent as one sum, and their durations as a sample', async () => {
  const socket = dgram.createSocket('udp4').bind(0, '127.0.0.1');
  await nodeEvents.once(socket, 'listening');
  const received: string[] = [];
  socket.on('message', (message) => received.push(...message.toString().trim().split('\n')));
  const metrics = new statsdMetrics.StatsdMetrics(
    '127.0.0.1',
    socket.address().port,
    { failure_domain: 'a' },
    new manualClock.ManualClock(),
    new seededRandom.SeededRandom(1),
    () => undefined,
  );
  for (let count = 0; count < 100; count += 1) {
    metrics.increment('call.answered', ['service:a']);
    metrics.timing('call.latency_ms', 5, ['service:a']);
  }
  await metrics.close();
  while (received.length < 34) await nodeEvents.once(socket, 'message');
  expect(received[0]).toBe('lavenderspar.call.answered:100|c|#failure_domain:a,service:a');
  expect(received.filter((line) => line.includes('latency_ms:5|'))).toHaveLength(32);
  expect(received.at(-1)).toContain('call.latency_ms.omitted:68|c');
  socket.close();
});
