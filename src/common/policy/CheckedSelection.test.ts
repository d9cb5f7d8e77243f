import * as manualClock from '../ManualClock';
import * as serverChoice from '../scheduling/ServerChoice';
import * as seededRandom from '../SeededRandom';
import * as checkBudget from './CheckBudget';
import * as checkReplyCache from './CheckReplyCache';
import * as checkedSelection from './CheckedSelection';
import * as serverOrder from './ServerOrder';
import * as serverState from './ServerState';
import type * as policyTypes from './Types';

type Reply = (reply: policyTypes.CheckReply) => void;

let clock: manualClock.ManualClock;
let budget: checkBudget.CheckBudget;
let pendingChecks: Map<string, Reply>;
let checkOrder: string[];
let selected: checkedSelection.CheckResult[];

beforeEach(() => {
  clock = new manualClock.ManualClock();
  budget = new checkBudget.CheckBudget(clock);
  budget.setRate(1_000, 1);
  pendingChecks = new Map();
  checkOrder = [];
  selected = [];
});

function stateOf(name: string, failureDomain = 'own', rank = 0): serverState.ServerState {
  const row = {
    service: 's',
    address: name,
    failureDomain,
    weight: 1,
    slots: 3,
    maxConnections: 9,
  };
  return new serverState.ServerState(row, rank);
}

function begin(
  candidates: readonly serverState.ServerState[],
  changes: Partial<checkedSelection.ICheckedSelectionContext> = {},
  replies = new checkReplyCache.CheckReplyCache(),
): checkedSelection.CheckedSelection {
  const selection = new checkedSelection.CheckedSelection(
    candidates,
    replies,
    {
      budget,
      checker: {
        hasIdleConnection: () => false,
        check: (row, _path, _timeoutMs, onReply) => {
          checkOrder.push(row.address);
          pendingChecks.set(row.address, onReply);
        },
      },
      clock,
      order: new serverOrder.ServerOrder({
        clock,
        random: new seededRandom.SeededRandom(1),
        failureDomain: 'own',
        hasIdleConnection: () => false,
        owesReply: (address) => replies.isPending(address),
      }),
      healthPath: '/health',
      onReply: (server, reply) => {
        if ('report' in reply && reply.report !== undefined) server.recordReport(reply.report, 0);
      },
      ...changes,
    },
    (result) => selected.push(result),
  );
  selection.begin();
  return selection;
}

function ready(inFlight: number, queued = 0, slowdown = 1): policyTypes.CheckReply {
  return { kind: 'ready', report: { inFlight, queued, draining: false, slowdown } };
}

function chosen(): string | undefined {
  const [first] = selected;
  if (first === undefined || first.kind === 'none') return first?.kind;
  return serverChoice.byCost(first.checked)[0]?.server.address;
}

test('the first idle server at normal speed is selected', () => {
  begin([stateOf('a')]);
  pendingChecks.get('a')?.(ready(0));
  expect(chosen()).toBe('a');
});

// Guards against a dispatch to a server that has just become slow.
test('a normal server is preferred to a slow one', () => {
  begin([stateOf('near'), stateOf('far', 'other')]);
  pendingChecks.get('near')?.(ready(0, 0, 5));
  pendingChecks.get('far')?.(ready(1));
  expect(checkOrder).toEqual(['near', 'far']);
  expect(chosen()).toBe('far');
});

test('servers of other failure domains are checked in the order of their rank', () => {
  begin([stateOf('x', 'other', 0.9), stateOf('y', 'other', 0.1), stateOf('near')]);
  pendingChecks.get('near')?.({ kind: 'unreachable' });
  pendingChecks.get('y')?.({ kind: 'unreachable' });
  expect(checkOrder).toEqual(['near', 'y', 'x']);
});

// Guards against waiting for an unresponsive server until its check times out.
test('a server that does not reply costs one round', () => {
  begin([stateOf('near'), stateOf('far', 'other')]);
  clock.advance(10);
  pendingChecks.get('far')?.(ready(0));
  expect(chosen()).toBe('far');
});

test('if no server replies, one is selected anyway', () => {
  begin([stateOf('a')]);
  clock.advance(100);
  expect(chosen()).toBe('a');
});

test('if every server is unreachable or replaced, none is selected', () => {
  begin([stateOf('a'), stateOf('b')]);
  checkOrder.slice().forEach((name) => pendingChecks.get(name)?.({ kind: 'unreachable' }));
  pendingChecks.get('a')?.({ kind: 'unreachable' });
  pendingChecks.get('b')?.({ kind: 'replaced' });
  expect(chosen()).toBe('none');
});

// Guards against a call that takes a busy server as if it had room.
test.each([
  ['idle', ready(0), 'acceptable'],
  ['full', ready(3, 5), 'busy'],
  ['slow', ready(0, 0, 5), 'busy'],
] as const)('a server that is %s is told apart', (_name, reply, kind) => {
  begin([stateOf('a')]);
  pendingChecks.get('a')?.(reply);
  expect(selected).toMatchObject([{ kind }]);
});

test('calls within a few milliseconds share a reply', () => {
  const replies = new checkReplyCache.CheckReplyCache();
  const server = stateOf('a');
  begin([server], {}, replies);
  pendingChecks.get('a')?.(ready(0));
  clock.advance(5);
  begin([server], {}, replies);
  expect(checkOrder).toEqual(['a']);
  expect(selected).toHaveLength(2);
  clock.advance(20);
  begin([server], {}, replies);
  expect(checkOrder).toEqual(['a', 'a']);
});

test('a disposed selection selects nothing', () => {
  begin([stateOf('a')]).dispose();
  pendingChecks.get('a')?.(ready(0));
  clock.advance(1_000);
  expect(selected).toEqual([]);
});

// Guards against exceeding the check budget when every server is busy.
test('without a permit for a check, a server is selected unchecked', () => {
  while (budget.take());
  begin([stateOf('a')]);
  expect(checkOrder).toEqual([]);
  expect(chosen()).toBe('a');
});
