/**
 * Preloaded into the daemon with `--require`. Measures the time from the arrival of a request to the
 * end of its response, minus the duration of the exchange with the backend server. Writes the
 * percentiles to the file named by INSIDE_TIMES when the process ends.
 */
import * as diagnosticsChannel from 'node:diagnostics_channel';
import * as fs from 'node:fs/promises';
import type * as http from 'node:http';

import * as hdr from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1_000;

/** Duration of the exchange with the backend server, by request id. */
const upstreamMs = new Map<string, number>();
const sentAtMs = new WeakMap<object, { readonly id: string; readonly atMs: number }>();
const arrivedMs = new WeakMap<http.ServerResponse, number>();
const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });

diagnosticsChannel.subscribe('undici:client:sendHeaders', (message) => {
  const { request, headers } = message as { request: object; headers: string };
  const id = /^request-id: (\S+)/m.exec(headers)?.[1] ?? '';
  sentAtMs.set(request, { id, atMs: performance.now() });
});

diagnosticsChannel.subscribe('undici:request:trailers', (message) => {
  const sent = sentAtMs.get((message as { request: object }).request);
  if (sent !== undefined) upstreamMs.set(sent.id, performance.now() - sent.atMs);
});

diagnosticsChannel.subscribe('http.server.request.start', (message) => {
  arrivedMs.set((message as { response: http.ServerResponse }).response, performance.now());
});

diagnosticsChannel.subscribe('http.server.response.finish', (message) => {
  const { response } = message as { response: http.ServerResponse };
  // Headers passed to `writeHead` are available only in the header text that was sent.
  const headerText = String(Reflect.get(response, '_header'));
  const id = /^request-id: (\S+)/im.exec(headerText)?.[1] ?? '';
  const upstream = upstreamMs.get(id);
  const arrived = arrivedMs.get(response);
  upstreamMs.delete(id);
  if (upstream === undefined || arrived === undefined) return;
  const insideMs = performance.now() - arrived - upstream;
  histogram.recordValue(Math.max(1, Math.round(insideMs * MICROSECONDS_PER_MS)));
});

process.once('beforeExit', () => {
  const percentileMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  const figures = {
    p50Ms: percentileMs(50),
    p99Ms: percentileMs(99),
    p999Ms: percentileMs(99.9),
    calls: histogram.totalCount,
  };
  fs.writeFile(process.env.INSIDE_TIMES ?? '', JSON.stringify(figures)).catch((error: Error) =>
    process.stderr.write(`${error.message}\n`),
  );
});
