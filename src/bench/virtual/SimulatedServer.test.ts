import * as benchTable from './BenchTable';
import * as companies from './Companies';
import * as heapClock from '../../common/HeapClock';
import * as simulatedServer from './SimulatedServer';
import type * as benchTypes from './Types';

const company = companies.COMPANIES.get('ogunleye') as benchTypes.ICompany;

function createServer(slots: number): {
  readonly clock: heapClock.HeapClock;
  readonly server: simulatedServer.SimulatedServer;
} {
  const clock = new heapClock.HeapClock();
  const row = benchTable
    .tableOf(company, { name: 'test', utilization: 0 }, 0, false)
    .servers.get(company.service)?.[0];
  if (row === undefined) throw new Error(`the table has no server of ${company.service}`);
  return { clock, server: new simulatedServer.SimulatedServer({ ...row, slots }, clock) };
}

test('a change of speed applies only to the remaining part of running work', () => {
  const { clock, server } = createServer(1);
  let endedMs = 0;
  server.submit(10, false, () => {
    endedMs = clock.monotonicMs();
  });
  clock.runUntil(4);
  server.setSpeed(0.5);
  clock.runUntil(100);
  expect(endedMs).toBe(16);
});

test('runs work in FIFO order and skips cancelled work', () => {
  const { clock, server } = createServer(1);
  const ends: string[] = [];
  server.submit(10, false, () => ends.push(`first ${clock.monotonicMs()}`));
  const cancel = server.submit(10, false, () => ends.push('cancelled'));
  server.submit(5, false, () => ends.push(`third ${clock.monotonicMs()}`));
  cancel();
  expect(server.report).toEqual({ inFlight: 1, queued: 1, draining: false });
  clock.runUntil(100);
  expect(ends).toEqual(['first 10', 'third 15']);
});

test('a frozen report does not change with the load', () => {
  const { server } = createServer(1);
  server.setReportMode('frozen');
  server.submit(10, false, () => undefined);
  expect(server.report).toEqual({ inFlight: 0, queued: 0, draining: false });
});

test('a crash aborts running and queued work', () => {
  const { server } = createServer(1);
  const ends: string[] = [];
  server.submit(10, false, (end) => ends.push(end));
  server.submit(10, false, (end) => ends.push(end));
  server.crash(100);
  expect(ends).toEqual(['crashed', 'crashed']);
  expect(server.accepts).toBe(false);
});
