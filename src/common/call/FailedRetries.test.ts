import * as fixtures from '../testing/Fixtures';

// Guards against spending the whole retry budget on a service that refuses every request.
test('failed retries cost more than one permit each', () => {
  const rig = fixtures.makeRig({ retryFraction: 0.5 }, 4);
  let ended = 0;
  Array.from({ length: 20 }).forEach(() => {
    rig.start();
    while (ended < rig.transport.attempts.length) {
      const attempt = rig.transport.attempts[ended];
      ended += 1;
      attempt?.listener.onEnd({ kind: 'refused', draining: false });
    }
  });
  // 20 calls earn 10 retries, and half of them at most are granted.
  expect(rig.transport.attempts.length).toBeLessThanOrEqual(25);
});
