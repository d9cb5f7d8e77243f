import * as fastCheck from 'fast-check';

import * as fixtures from '../testing/Fixtures';
import type * as callTypes from './Types';

type Step = 'answer' | 'fail' | 'refuse' | 'not-sent' | 'lose' | 'wait' | 'cancel';

const OK: callTypes.IAnswer = { status: 200, headers: [], body: new Uint8Array() };

const OUTCOMES: Partial<Record<Step, callTypes.AttemptOutcome>> = {
  answer: { kind: 'answered', answer: OK },
  fail: { kind: 'answered', answer: { ...OK, status: 503 } },
  refuse: { kind: 'refused', draining: false },
  'not-sent': { kind: 'not-sent', detail: 'refused connection' },
  lose: { kind: 'lost', reason: 'connection-lost', detail: 'reset' },
};

/** Reference model of one attempt, independent of the tested code. */
interface IObserved {
  ran: 'no' | 'maybe';
  ended: boolean;
}

function runSteps(
  idempotent: boolean,
  steps: readonly { step: Step; pick: number }[],
): { rig: fixtures.IRig; observed: IObserved[]; cancelled: boolean } {
  const rig = fixtures.makeRig({ idempotent, hedgeFraction: 1 }, 4);
  const handle = rig.start();
  const observed: IObserved[] = [];
  let cancelled = false;
  const sync = () => {
    while (observed.length < rig.transport.attempts.length) {
      observed.push({ ran: 'maybe', ended: false });
    }
    rig.transport.attempts.forEach((attempt, index) => {
      if (attempt.cancelled) (observed[index] as IObserved).ended = true;
    });
  };
  sync();
  steps.forEach(({ step, pick }) => {
    if (step === 'wait') rig.clock.advance(250);
    else if (step === 'cancel') {
      cancelled ||= rig.outcomes.length === 0;
      handle.cancel();
    } else {
      const open = observed.flatMap((entry, index) => (entry.ended ? [] : [index]));
      const index = open[pick % Math.max(1, open.length)];
      if (index === undefined) return;
      const entry = observed[index] as IObserved;
      entry.ended = true;
      if (step === 'refuse' || step === 'not-sent') entry.ran = 'no';
      rig.transport.attempts[index]?.listener.onEnd(OUTCOMES[step] as callTypes.AttemptOutcome);
    }
    sync();
  });
  rig.clock.advance(10_000);
  sync();
  return { rig, observed, cancelled };
}

const STEPS = fastCheck.array(
  fastCheck.record({
    step: fastCheck.constantFrom<Step>(
      'answer',
      'fail',
      'refuse',
      'not-sent',
      'lose',
      'wait',
      'cancel',
    ),
    pick: fastCheck.nat(3),
  }),
  { maxLength: 8 },
);

test('calls end once, report not-run only if true, and run at most once if not idempotent', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.boolean(), STEPS, (idempotent, steps) => {
      const { rig, observed, cancelled } = runSteps(idempotent, steps);
      expect(rig.outcomes).toHaveLength(cancelled ? 0 : 1);
      const mayHaveRun = observed.filter((entry) => entry.ran === 'maybe').length;
      if (rig.outcomes[0]?.kind === 'not-run') expect(mayHaveRun).toBe(0);
      if (!idempotent) expect(mayHaveRun).toBeLessThanOrEqual(1);
      expect(observed.every((entry) => entry.ended)).toBe(true);
      expect(rig.balancer.states.every((state) => state.inFlight === 0)).toBe(true);
      expect(rig.balancer.admission.inFlight).toBe(0);
    }),
    { seed: 11, numRuns: 3_000 },
  );
});
