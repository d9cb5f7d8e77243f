import * as checkedSelector from '../call/CheckedSelector';
import * as manualClock from '../ManualClock';
import * as checkBudget from '../policy/CheckBudget';
import * as serverState from '../policy/ServerState';
import type * as policyTypes from '../policy/Types';
import * as seededRandom from '../SeededRandom';
import type * as tableTypes from '../table/Types';
import * as callScheduler from './CallScheduler';
import type * as schedulingTypes from './Types';

const TABLE = {} as tableTypes.ITable;
const WORK_MS = 160;

function ready(inFlight: number, queued = 0, slowdown = 1): policyTypes.CheckReply {
  return { kind: 'ready', report: { inFlight, queued, draining: false, slowdown } };
}

const FULL = ready(3, 5);

let clock: manualClock.ManualClock;
let servers: serverState.ServerState[];
let replies: Map<string, policyTypes.CheckReply>;
let checks: number;
let timers: number;
let scheduler: callScheduler.CallScheduler;
let results: Map<string, schedulingTypes.SelectionResult>;

function makeServer(address: string): serverState.ServerState {
  const place = { address, failureDomain: 'own', maxConnections: 99 };
  return new serverState.ServerState({ service: 's', weight: 1, slots: 3, ...place });
}

beforeEach(() => {
  clock = new manualClock.ManualClock();
  const setTimer = clock.setTimer.bind(clock);
  timers = 0;
  clock.setTimer = (delayMs, callback) => {
    timers += 1;
    return setTimer(delayMs, callback);
  };
  servers = [makeServer('x')];
  replies = new Map([['x', FULL]]);
  results = new Map();
  checks = 0;
  const budget = new checkBudget.CheckBudget(clock);
  budget.setRate(100_000, 1);
  clock.advance(10_000);
  const options: checkedSelector.ICheckedSelectorOptions = {
    checker: {
      hasIdleConnection: () => true,
      check: ({ address }, _path, _timeoutMs, onReply) => {
        checks += 1;
        onReply(replies.get(address) ?? { kind: 'unreachable' });
      },
    },
    ...{ budget, random: new seededRandom.SeededRandom(1), failureDomain: 'own' },
    rankOf: () => 0,
  };
  const selector = new checkedSelector.CheckedSelector(options, '/health', clock);
  const source = {
    candidates: (excluded: ReadonlySet<string>) =>
      servers.filter(({ address }) => !excluded.has(address)),
    isUnavailable: () => false,
  };
  scheduler = new callScheduler.CallScheduler(selector, source, options, clock);
  scheduler.recordServiceTime({ priority: 0 }, WORK_MS);
});

/** Starts a call, whose times are relative to now. */
function enter(
  name: string,
  { objectiveMs = 400, deadlineMs = 3_000, priority = 0 } = {},
  excluded: ReadonlySet<string> = new Set(),
) {
  const nowMs = clock.monotonicMs();
  const times = { objectiveAtMs: nowMs + objectiveMs, deadlineMs: nowMs + deadlineMs };
  return scheduler.enter({ table: TABLE, priority, ...times }, excluded, (result) => {
    results.set(name, result);
    if (result.kind === 'server') result.server.recordStart(clock.monotonicMs());
  });
}

/** Returns the server after an answer that reports its load. */
function reported(inFlight: number): serverState.ServerState {
  const server = servers[0] as serverState.ServerState;
  server.recordReport({ inFlight, queued: 0, draining: false }, clock.monotonicMs());
  return server;
}

function refusalOf(name: string): schedulingTypes.IOverload {
  const result = results.get(name);
  if (result?.kind !== 'overloaded') throw new Error(`${name} was not refused`);
  return result;
}

// Guards against work for the scheduler in the usual case.
test('a call for which the first server has room needs one check and one timer', () => {
  replies.set('x', ready(0));
  enter('a');
  expect(results.get('a')).toMatchObject({ kind: 'server', cost: 1 });
  expect([checks, timers, scheduler.size]).toEqual([1, 1, 0]);
});

test('a slot that becomes free while a call is held is used', () => {
  enter('a');
  expect(results.size).toBe(0);
  replies.set('x', ready(1));
  clock.advance(40);
  expect(results.get('a')).toMatchObject({ kind: 'server' });
});

// Guards against requests that occupy a slot five times as long because they started too early.
test('a call waits for a slow server that recovers', () => {
  replies.set('x', ready(0, 0, 5));
  enter('a');
  clock.advance(100);
  expect(results.size).toBe(0);
  replies.set('x', ready(0));
  clock.advance(70);
  expect(results.get('a')).toMatchObject({ kind: 'server' });
});

// Guards against refusals while slow servers have free slots.
test('a slow server with a free slot is used if none recovers in time', () => {
  replies.set('x', ready(0, 0, 5));
  enter('a');
  clock.advance(3_000 - WORK_MS);
  expect(results.get('a')).toMatchObject({ kind: 'server' });
});

// Guards against a queue at a server, where a call waits behind less urgent ones of other daemons and
// may start while the server is slow.
test('a call with time left does not join the queue of a server', () => {
  replies.set('x', ready(3));
  enter('a');
  clock.advance(100);
  expect(results.size).toBe(0);
});

// Guards against timers and checks that grow with the number of waiting calls.
test('all waiting calls share one timer and one set of checks', () => {
  for (let count = 0; count < 50; count += 1) enter(`${count}`, { deadlineMs: 60_000 });
  expect(scheduler.size).toBe(50);
  [checks, timers] = [0, 0];
  clock.advance(60);
  expect(checks).toBeLessThanOrEqual(8);
  expect(timers).toBeLessThanOrEqual(16);
});

// Guards against a backlog that makes every later call late.
test('calls that can meet their objective come before late ones, and urgent ones first', () => {
  enter('late', { objectiveMs: 20 });
  enter('less', { priority: 1 });
  enter('long', { objectiveMs: 800 });
  enter('short');
  const order: string[] = [];
  for (let count = 0; count < 4; count += 1) {
    replies.set('x', ready(0));
    servers[0]?.dropReport();
    scheduler.offerAfterEnd(reported(1));
    results.forEach((_, name) => !order.includes(name) && order.push(name));
    clock.advance(1);
  }
  expect(order).toEqual(['short', 'long', 'less', 'late']);
});

// Guards against a kind that gets nothing while a more urgent one fills the servers.
test('a less urgent kind gets one of four turns', () => {
  const deadlines = { objectiveMs: 20_000, deadlineMs: 60_000 };
  for (let count = 0; count < 12; count += 1) enter(`urgent${count}`, deadlines);
  for (let count = 0; count < 4; count += 1) enter(`less${count}`, { ...deadlines, priority: 1 });
  for (let count = 0; count < 8; count += 1) scheduler.offerAfterEnd(reported(1));
  const served = [...results.keys()].slice(0, 8);
  expect(served.filter((name) => name.startsWith('less'))).toHaveLength(2);
});

// Guards against a less urgent call that takes the last slot from an urgent one of another daemon.
test('a less urgent call with time left leaves the last slot to others', () => {
  enter('urgent', { objectiveMs: 400 }).dispose();
  enter('less', { priority: 1 });
  scheduler.offerAfterEnd(reported(2));
  expect(results.size).toBe(0);
  scheduler.offerAfterEnd(reported(1));
  expect(results.get('less')).toMatchObject({ kind: 'server' });
});

// Guards against holding a call until its deadline although no answer can come before it.
test('a call that cannot be answered before its deadline is refused at once', () => {
  enter('a', { objectiveMs: 100, deadlineMs: WORK_MS - 10 });
  expect(refusalOf('a')).toMatchObject({ cause: 'no-time', waitedMs: 0 });
});

// Guards against refusals that come too late for the caller to be served elsewhere.
test('a call is refused after a quarter of its time, and may return within a quarter of the rest', () => {
  enter('a', { deadlineMs: 2_400 });
  clock.advance(2_400);
  const { waitedMs, retryAfterMs, cause } = refusalOf('a');
  expect(cause).toBe('no-room');
  expect(waitedMs).toBeLessThanOrEqual(2_400 / 4 + 60);
  expect(retryAfterMs).toBeLessThanOrEqual((2_400 - waitedMs) / 4);
});

// Guards against refusals of calls that could still meet their objective.
test('a call is not refused before its objective is out of reach', () => {
  enter('a', { objectiveMs: 900, deadlineMs: 1_200 });
  clock.advance(900 - WORK_MS - 1);
  expect(results.size).toBe(0);
});

// Guards against callers that return together.
test('callers that are refused together return at different times', () => {
  for (let count = 0; count < 20; count += 1) enter(`${count}`);
  clock.advance(3_000);
  const delays = [...results.keys()].map((name) => refusalOf(name).retryAfterMs);
  expect(new Set(delays).size).toBe(20);
  expect(Math.max(...delays)).toBeGreaterThan(2 * Math.min(...delays));
});

// Guards against the refusal of calls that the order would serve in time.
test('the calls behind many others are refused first', () => {
  for (let count = 0; count < 3; count += 1) {
    enter(`seen${count}`, { objectiveMs: 9_000, deadlineMs: 20_000 });
    clock.advance(400);
    scheduler.offerAfterEnd(reported(1));
  }
  for (let count = 0; count < 30; count += 1) enter(`${count}`);
  const refused = [...results].filter(([, { kind }]) => kind === 'overloaded');
  expect(refused.length).toBeGreaterThan(5);
  expect(refused.every(([, result]) => 'cause' in result && result.cause === 'outranked')).toBe(
    true,
  );
  expect(results.has('0')).toBe(false);
});

// Guards against a call that is served after its caller has left, and against later calls that wait
// without a timer.
test('a call whose caller leaves while it waits gets no server, and the next one does', () => {
  enter('a').dispose();
  replies.set('x', ready(0));
  const before = checks;
  clock.advance(1_000);
  expect([results.size, scheduler.size, checks - before]).toEqual([0, 0, 0]);
  replies.set('x', FULL);
  enter('b');
  replies.set('x', ready(0));
  clock.advance(40);
  expect([...results.keys()]).toEqual(['b']);
});

// Guards against refusing calls after a pause of the daemon although servers idle by then.
test('after a pause of the process servers are checked before calls are refused', () => {
  enter('a');
  clock.pause(1_500);
  replies.set('x', ready(0));
  clock.advance(1);
  expect(results.get('a')).toMatchObject({ kind: 'server' });
});

// Guards against holding calls that a peer could forward.
test('calls end soon when all servers become unreachable', () => {
  enter('a');
  enter('b', { objectiveMs: 2_000 });
  replies.set('x', { kind: 'unreachable' });
  clock.advance(200);
  expect([...results.values()]).toEqual([{ kind: 'none' }, { kind: 'none' }]);
});

// Guards against calls that wait for servers which are gone.
test('calls end when a table removes all servers', () => {
  enter('a');
  enter('b', { objectiveMs: 2_000 });
  servers = [];
  clock.advance(60);
  expect([...results.values()]).toEqual([{ kind: 'none' }, { kind: 'none' }]);
});

// Guards against 503 while other servers run: a failure took the servers that are asked first.
test('calls go on waiting while only a part of the servers is unreachable', () => {
  ['b', 'c', 'd'].forEach((address) => {
    servers.push(makeServer(address));
    replies.set(address, { kind: 'unreachable' });
  });
  enter('a', { objectiveMs: 2_000 });
  clock.advance(400);
  expect(results.size).toBe(0);
});

// Guards against a retry that counts as a call which was refused before, and loses its place.
test('a retry of a call has the terms of its first attempt', () => {
  replies.set('x', ready(0));
  for (let count = 0; count < 10; count += 1) {
    enter(`${count}`);
    servers[0]?.dropReport();
    clock.advance(20);
  }
  replies.set('x', FULL);
  const nowMs = clock.monotonicMs();
  const call = { table: TABLE, priority: 0, objectiveAtMs: nowMs + 600, deadlineMs: nowMs + 3_000 };
  const refused = jest.fn();
  scheduler.enter(call, new Set(), refused).dispose();
  clock.advance(200);
  scheduler.enter(call, new Set(), refused);
  enter('new', { objectiveMs: 500 });
  scheduler.offerAfterEnd(reported(1));
  expect(refused).toHaveBeenCalledWith(expect.objectContaining({ kind: 'server' }));
});

// Guards against calls that give way although no other kind uses the service.
test('with one priority a call takes any room in which it is in time, also a queue', () => {
  scheduler.setOnePriority(true);
  replies.set('x', ready(3));
  enter('a', { objectiveMs: 600 });
  expect(results.get('a')).toMatchObject({ kind: 'server' });
});

// Guards against a call that is held while its caller could be served by another daemon, and against
// a refusal while a slot is free.
test.each([
  ['refused if no slot is free', FULL, 'overloaded'],
  ['sent to a slow server with a free slot', ready(1, 0, 5), 'server'],
] as const)('with one priority a call is held for an eighth, then %s', (_name, reply, kind) => {
  scheduler.setOnePriority(true);
  replies.set('x', reply);
  enter('a', { objectiveMs: 400 });
  clock.advance(400 / 8 - 1);
  expect(results.size).toBe(0);
  clock.advance(20);
  expect(results.get('a')).toMatchObject({ kind });
});

// Guards against a second attempt at the server that has just rejected the first one.
test('a server that a call has tried is not offered to it', () => {
  servers.push(makeServer('y'));
  replies.set('y', FULL);
  enter('a', {}, new Set(['x']));
  scheduler.offerAfterEnd(reported(0));
  expect(results.size).toBe(0);
});

// Guards against returned calls that take room from calls which can still be in time.
test('a call that states less time than usual counts from its first attempt', () => {
  replies.set('x', ready(0));
  for (let count = 0; count < 10; count += 1) {
    enter(`${count}`);
    servers[0]?.dropReport();
    clock.advance(20);
  }
  replies.set('x', FULL);
  enter('returned', { objectiveMs: 400, deadlineMs: 2_000 });
  enter('new');
  scheduler.offerAfterEnd(reported(1));
  expect(results.has('new')).toBe(true);
  expect(results.has('returned')).toBe(false);
});
