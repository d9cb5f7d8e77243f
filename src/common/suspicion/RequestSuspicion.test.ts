import * as manualClock from '../ManualClock';
import * as requestSuspicion from './RequestSuspicion';
import type * as suspicionTypes from './Types';

function make(): {
  clock: manualClock.ManualClock;
  suspicion: requestSuspicion.RequestSuspicion;
} {
  const clock = new manualClock.ManualClock();
  return { clock, suspicion: new requestSuspicion.RequestSuspicion(clock) };
}

test('suspects a request only after the loss of two distinct servers', () => {
  const { suspicion } = make();
  suspicion.recordLoss('request', 'a');
  suspicion.recordLoss('request', 'a');
  expect(suspicion.isSuspect('request')).toBe(false);
  suspicion.recordLoss('request', 'b');
  expect(suspicion.isSuspect('request')).toBe(true);
});

test('adds the losses that peers observed', () => {
  const { suspicion } = make();
  suspicion.recordLoss('request', 'a');
  suspicion.merge({ fingerprint: 'request', servers: ['b'] }, 100);
  expect(suspicion.isSuspect('request')).toBe(true);
});

test('a request is no longer suspect after its losses expire', () => {
  const { clock, suspicion } = make();
  suspicion.recordLoss('request', 'a');
  suspicion.recordLoss('request', 'b');
  clock.advance(requestSuspicion.SUSPICION_LIFETIME_MS);
  expect(suspicion.isSuspect('request')).toBe(false);
});

test('takes the age of losses that peers observed into account', () => {
  const { clock, suspicion } = make();
  suspicion.merge({ fingerprint: 'request', servers: ['a', 'b'] }, 50_000);
  clock.advance(10_000);
  expect(suspicion.isSuspect('request')).toBe(false);
});

test('clears a request that was answered', () => {
  const { suspicion } = make();
  suspicion.recordLoss('request', 'a');
  suspicion.recordAnswered('request');
  suspicion.recordLoss('request', 'b');
  expect(suspicion.isSuspect('request')).toBe(false);
});

test('fires on each loss with all lost servers', () => {
  const { suspicion } = make();
  const seen: suspicionTypes.ISuspicion[] = [];
  suspicion.onLoss((loss) => seen.push(loss));
  suspicion.recordLoss('request', 'a');
  suspicion.recordLoss('request', 'b');
  expect(seen[1]).toEqual({ fingerprint: 'request', servers: ['a', 'b'] });
});
