import * as restraintAudit from './RestraintAudit';
import type * as soakTypes from './Types';

function callAt(startMs: number, daemon = 0): soakTypes.ICallRecord {
  const outcome = { end: 'answered', status: 200 } as const;
  const requestId = `${daemon}-${startMs}`;
  return {
    ...{ requestId, service: 'reads', idempotent: true, daemon, startMs, endMs: startMs },
    ...outcome,
  };
}

function arrivalOf(call: soakTypes.ICallRecord): soakTypes.IArrivalRecord {
  return { requestId: call.requestId, process: 'i-1', atMs: call.startMs };
}

function auditOf(
  calls: readonly soakTypes.ICallRecord[],
  statement: Pick<soakTypes.IStatementRecord, 'kind' | 'untilMs'>,
  faultIntervals: readonly soakTypes.IFaultInterval[] = [],
): restraintAudit.IRestraintViolations {
  const arrivals = calls.map(arrivalOf);
  const [first] = arrivals as [soakTypes.IArrivalRecord];
  const statements = [{ ...first, ...statement }];
  return restraintAudit.auditRestraints({
    ...{ calls, arrivals, statements, limits: [], faultIntervals },
  });
}

const LEAVING = { kind: 'leaving', untilMs: Number.POSITIVE_INFINITY } as const;

// Guards against an audit that passes because it does not check an invariant.
test('a request to a server that leaves is found, unless the daemon restarted', () => {
  const calls = [callAt(0), callAt(1_900), callAt(2_100, 1), callAt(2_100)];
  expect(auditOf(calls, LEAVING).requestsToLeaving).toMatchObject([{ requestId: '0-2100' }]);
  const failure = { componentIndex: 0, beginMs: 500, endMs: 600 };
  const faults = [{ kind: 'daemon-failure', ...failure } as const];
  expect(auditOf(calls, LEAVING, faults).requestsToLeaving).toEqual([]);
});

test('a third request in a pause is found', () => {
  const pause = { kind: 'pause', untilMs: 2_000 } as const;
  const calls = [callAt(0), callAt(600), callAt(700)];
  expect(auditOf([...calls, callAt(2_100)], pause).disturbedPauses).toEqual([]);
  expect(auditOf([...calls, callAt(800)], pause).disturbedPauses).toHaveLength(1);
});

test('more requests than a limit allows are found once it holds', () => {
  const limit = { process: 'i-1', perSecond: 1, beginMs: 0, endMs: 8_000 };
  const arrivalsAt = (firstMs: number) =>
    Array.from({ length: 12 }, (_, index) => arrivalOf(callAt(firstMs + 100 * index)));
  const overrunsAt = (firstMs: number) =>
    restraintAudit.auditRestraints({
      ...{ calls: [], statements: [], faultIntervals: [], limits: [limit] },
      arrivals: arrivalsAt(firstMs),
    }).limitOverruns;
  expect(overrunsAt(0)).toEqual([]);
  expect(overrunsAt(3_500)).toEqual([limit]);
});
