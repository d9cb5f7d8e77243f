import * as manualClock from '../ManualClock';
import * as serverState from '../policy/ServerState';
import type * as tableTypes from '../table/Types';
import * as fixtures from '../testing/Fixtures';
import * as lossChecks from './LossChecks';
import type * as callTypes from './Types';

let clock: manualClock.ManualClock;
let checks: lossChecks.LossChecks;
let server: serverState.ServerState;
let verdicts: callTypes.LossVerdict[];

beforeEach(() => {
  clock = new manualClock.ManualClock();
  checks = new lossChecks.LossChecks(clock);
  const row = fixtures.makeTable().servers.get('status')?.[0] as tableTypes.IServerRow;
  server = new serverState.ServerState(row);
  verdicts = [];
});

function addLoss(): lossChecks.IUndecidedLoss {
  return checks.add(server, (verdict) => verdicts.push(verdict));
}

test('a check that decides ends the loss', () => {
  const loss = addLoss();
  checks.recordCheck(loss, 'running');
  checks.recordUnlisted(server);
  expect(verdicts).toEqual(['running']);
});

test('an undecided loss counts once the server is no longer listed', () => {
  checks.recordCheck(addLoss(), 'undecided');
  expect(verdicts).toEqual([]);
  checks.recordUnlisted(server);
  expect(verdicts).toEqual(['ended']);
});

// Guards against blaming a request for a server that ended long after it was lost.
test('a server that replied after the loss was running', () => {
  addLoss();
  clock.advance(10);
  server.recordReply(clock.monotonicMs());
  checks.recordUnlisted(server);
  expect(verdicts).toEqual(['running']);
});

test('a loss remains undecided if its server stays listed', () => {
  addLoss();
  clock.advance(20_000);
  checks.recordUnlisted(server);
  expect(verdicts).toEqual(['undecided']);
});

// Guards against memory that grows with each request while servers are out of reach.
test('only the latest losses are kept', () => {
  for (let count = 0; count < 1_500; count += 1) addLoss();
  expect(verdicts).toHaveLength(500);
});
