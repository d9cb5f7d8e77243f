import * as serverState from './ServerState';

function createState(): serverState.ServerState {
  return new serverState.ServerState({
    service: 'status',
    address: '10.0.0.1:80',
    failureDomain: 'a',
    weight: 1,
    slots: 3,
    maxConnections: 200,
  });
}

test('an attempt cancelled after a long wait raises the latency at once', () => {
  const state = createState();
  state.recordEnd(state.recordStart(0), 'answered', 10);
  state.recordEnd(state.recordStart(20), 'cancelled', 80);
  expect(state.latencyMs).toBe(60);
  expect(state.latencyAtMs).toBe(80);
});

test('an attempt cancelled early does not lower the latency', () => {
  const state = createState();
  state.recordEnd(state.recordStart(0), 'answered', 10);
  state.recordEnd(state.recordStart(20), 'cancelled', 21);
  expect(state.latencyMs).toBe(10);
});

test('a fast refusal does not change the latency', () => {
  const state = createState();
  state.recordEnd(state.recordStart(0), 'answered', 10);
  state.recordEnd(state.recordStart(20), 'refused', 21);
  expect(state.latencyMs).toBe(10);
});

test('the oldest attempt in flight is known after later ones end', () => {
  const state = createState();
  state.recordStart(5);
  const later = state.recordStart(7);
  state.recordEnd(later, 'answered', 9);
  expect(state.oldestStartMs).toBe(5);
  expect(state.inFlight).toBe(1);
});

test('one fast answer after a long time outweighs old slow ones', () => {
  const state = createState();
  state.recordEnd(state.recordStart(0), 'answered', 400);
  state.recordEnd(state.recordStart(10_400), 'answered', 10_402);
  expect(state.latencyMs).toBeLessThan(5);
});
