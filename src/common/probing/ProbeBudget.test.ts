import * as manualClock from '../ManualClock';
import * as tableParser from '../table/TableParser';
import type * as tableTypes from '../table/Types';
import * as probeBudget from './ProbeBudget';
import type * as probingTypes from './Types';

function tableOf(budget: number, maxDaemons: number): tableTypes.ITable {
  const lines = [
    'kind,name,version,max_daemons,idempotent,deadline_ms,probes_per_second',
    `table,,1,${maxDaemons},,,`,
    `service,status,,,yes,1000,${budget}`,
  ];
  const parsed = tableParser.TableParser.parse(lines.join('\n'));
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  return parsed.value;
}

function setUp(budget = 50, maxDaemons = 20) {
  const clock = new manualClock.ManualClock();
  const probes = new probeBudget.ProbeBudget(clock);
  probes.applyTable(tableOf(budget, maxDaemons));
  const takeAll = () => {
    const permits: probingTypes.IProbePermit[] = [];
    let permit = probes.take('status');
    while (permit !== undefined) {
      permits.push(permit);
      permit = probes.take('status');
    }
    return permits;
  };
  return { clock, probes, takeAll };
}

test('the share is the budget divided by max_daemons, rounded down', () => {
  const { clock, takeAll } = setUp();
  clock.advance(2_000);
  expect(takeAll()).toHaveLength(2);
});

test('a new process gets no permits for two seconds, whenever the table arrives', () => {
  const { clock, probes, takeAll } = setUp();
  clock.advance(1_999);
  expect(probes.stopReason).toBe('after-start');
  expect(takeAll()).toEqual([]);
  clock.advance(1);
  expect(probes.stopReason).toBeUndefined();
});

test('a permit is free one second after a reply and two seconds after a timeout', () => {
  const { clock, probes, takeAll } = setUp();
  clock.advance(2_000);
  const [first, second] = takeAll() as [probingTypes.IProbePermit, probingTypes.IProbePermit];
  clock.advance(700);
  first.replied();
  second.timedOut();
  clock.advance(999);
  expect(takeAll()).toEqual([]);
  clock.advance(1);
  expect(takeAll()).toHaveLength(1);
  clock.advance(1_000);
  expect(takeAll()).toHaveLength(1);
  expect(probes.usage[0]).toMatchObject({ share: 2, inFlight: 2, sent: 4, timedOut: 1 });
});

test('a permit that ends twice is released once', () => {
  const { clock, probes, takeAll } = setUp();
  clock.advance(2_000);
  const [permit] = takeAll();
  permit?.replied();
  permit?.timedOut();
  expect(probes.usage[0]).toMatchObject({ inFlight: 1, waiting: 1, timedOut: 0 });
});

test('permits are withheld for two seconds after a pause', () => {
  const { clock, probes, takeAll } = setUp();
  clock.advance(9_000);
  probes.onPaused();
  expect(probes.stopReason).toBe('after-pause');
  clock.advance(2_000);
  expect(takeAll()).toHaveLength(2);
});

test('a daemon that sees more than max_daemons members sends no probes', () => {
  const { clock, probes, takeAll } = setUp();
  clock.advance(2_000);
  probes.setMemberCount(21);
  expect(probes.stopReason).toBe('too-many-members');
  expect(takeAll()).toEqual([]);
  probes.setMemberCount(20);
  expect(takeAll()).toHaveLength(2);
});

test('permits in use count against a smaller share and survive removal of the service', () => {
  const { clock, probes, takeAll } = setUp(100);
  clock.advance(2_000);
  const permits = takeAll();
  expect(permits).toHaveLength(5);
  probes.applyTable(tableOf(0, 20));
  permits.forEach((permit) => permit.replied());
  clock.advance(500);
  probes.applyTable(tableOf(100, 20));
  expect(takeAll()).toEqual([]);
  clock.advance(500);
  expect(takeAll()).toHaveLength(5);
});

test('a service that has no budget or is not in the table is never probed', () => {
  const { clock, probes } = setUp(0);
  clock.advance(2_000);
  expect(probes.canTake('status')).toBe(false);
  expect(probes.canTake('unknown')).toBe(false);
});
