import * as manualClock from '../ManualClock';
import * as tableParser from '../table/TableParser';
import * as probeBudget from './ProbeBudget';
import * as probeScheduler from './ProbeScheduler';

function setUp(budget: number) {
  const clock = new manualClock.ManualClock();
  const probes = new probeBudget.ProbeBudget(clock);
  const parsed = tableParser.TableParser.parse(
    [
      'kind,name,version,max_daemons,idempotent,deadline_ms,probes_per_second',
      'table,,1,10,,,',
      `service,status,,,yes,1000,${budget}`,
      'service,archive,,,yes,1000,0',
    ].join('\n'),
  );
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  probes.applyTable(parsed.value);
  clock.advance(5_000);
  const scheduler = new probeScheduler.ProbeScheduler(probes, clock);
  return { clock, scheduler };
}

const at = (address: string, reportedAtMs: number | undefined, service = 'status') => ({
  service,
  address,
  reportedAtMs,
});

test('the server with the stalest report is probed, one without a report first', () => {
  const { scheduler } = setUp(30);
  const candidates = [at('a', 3_000), at('b', 1_000), at('c', undefined)];
  const order = candidates.map(() => scheduler.take(candidates)?.address);
  expect(order).toEqual(['c', 'b', 'a']);
  expect(scheduler.take(candidates)).toBeUndefined();
});

test('a service without permits does not hold up the others', () => {
  const { scheduler } = setUp(10);
  const probe = scheduler.take([at('a', undefined, 'archive'), at('b', 1_000)]);
  expect(probe).toMatchObject({ service: 'status', address: 'b' });
});

test('a fresh report needs no probe', () => {
  const { scheduler } = setUp(10);
  expect(scheduler.take([at('a', 4_950)])).toBeUndefined();
});

test('a server that never replies does not get every probe', () => {
  const { clock, scheduler } = setUp(10);
  const candidates = [at('silent', undefined), at('b', 1_000)];
  const order: (string | undefined)[] = [];
  for (let round = 0; round < 4; round += 1) {
    const probe = scheduler.take(candidates);
    order.push(probe?.address);
    probe?.timedOut();
    clock.advance(2_000);
  }
  expect(order).toEqual(['silent', 'b', 'silent', 'b']);
});
