import * as soakAudit from './SoakAudit';
import type * as soakTypes from './Types';

function callOf(changes: Partial<soakTypes.ICallRecord> = {}): soakTypes.ICallRecord {
  return {
    requestId: '1',
    service: 'orders',
    idempotent: false,
    daemon: 0,
    startMs: 1_000,
    endMs: 1_100,
    end: 'answered',
    status: 200,
    ...changes,
  };
}

function runOf(changes: Partial<soakTypes.IRunRecord> = {}): soakTypes.IRunRecord {
  return { requestId: '1', service: 'orders', atMs: 1_050, leavingForMs: undefined, ...changes };
}

const NO_OBSERVATIONS: soakAudit.IObservations = { calls: [], runs: [], faultIntervals: [] };

// Guards against an audit that passes because it does not check an invariant.
test('each violation is found', () => {
  const refused = callOf({ end: 'refused-not-run', status: 503 });
  const runs = [runOf(), runOf()];
  const twice = soakAudit.audit({ ...NO_OBSERVATIONS, calls: [refused], runs });
  expect(twice).toMatchObject({ falseNotRun: [refused], doubledRuns: [refused] });
  const wrong = callOf({ end: 'wrong-answer' });
  expect(soakAudit.audit({ ...NO_OBSERVATIONS, calls: [wrong] }).wrongAnswers).toEqual([wrong]);
  const late = runOf({ leavingForMs: 2_600 });
  expect(soakAudit.audit({ ...NO_OBSERVATIONS, runs: [late] }).workOnLeaving).toEqual([late]);
  const repeats = Array.from({ length: 70 }, (_, index) => runOf({ atMs: index }));
  expect(soakAudit.audit({ ...NO_OBSERVATIONS, runs: repeats }).budgetOverruns).toBe(1);
});

test('a call that a stopping daemon cuts is a violation, and one that a killed daemon cuts is not', () => {
  const cut = callOf({ end: 'unknown', status: undefined });
  const span = { componentIndex: 0, beginMs: 900, endMs: 2_000 };
  const auditWith = (kind: 'daemon-stop' | 'daemon-failure') =>
    soakAudit.audit({ calls: [cut], runs: [runOf()], faultIntervals: [{ ...span, kind }] });
  expect(auditWith('daemon-stop').cutInFlight).toEqual([cut]);
  expect(auditWith('daemon-failure').cutInFlight).toEqual([]);
});
