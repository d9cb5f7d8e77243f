import * as coldAudit from './ColdAudit';
import type * as soakTypes from './Types';

const COLD = { process: 'i-1', beginMs: 1_000, endMs: 5_000 };
const BOUND = 4.5;

function overrunsOf(
  timesMs: readonly number[],
  process = 'i-1',
  faultIntervals: readonly soakTypes.IFaultInterval[] = [],
): readonly soakTypes.IColdInterval[] {
  const arrivals = timesMs.map((atMs) => ({ requestId: `${atMs}`, process, atMs }));
  return coldAudit.findColdOverruns({ arrivals, coldIntervals: [COLD], faultIntervals }, BOUND);
}

// Guards against an audit that passes because it does not check an invariant.
test('more requests in a second than the bound are found while the server is cold', () => {
  expect(overrunsOf([2_000, 2_200, 2_400, 2_600])).toEqual([]);
  expect(overrunsOf([2_000, 2_200, 2_400, 2_600, 3_000])).toEqual([COLD]);
  expect(overrunsOf([2_000, 2_200, 2_400, 2_600, 3_001])).toEqual([]);
  expect(overrunsOf([600, 700, 800, 900, 1_000])).toEqual([]);
  expect(overrunsOf([2_000, 2_200, 2_400, 2_600, 3_000], 'i-2')).toEqual([]);
});

// Guards against a finding for requests that were sent at other times and arrived together.
test('requests that a fault of the network held up do not count', () => {
  const fault = { kind: 'network', componentIndex: 0, beginMs: 1_500, endMs: 1_900 } as const;
  expect(overrunsOf([2_000, 2_200, 2_400, 2_600, 3_000], 'i-1', [fault])).toEqual([]);
});
