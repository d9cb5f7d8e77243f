import * as manualClock from '../ManualClock';
import type * as tableTypes from '../table/Types';
import * as fixtures from '../testing/Fixtures';
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

// Guards against a report that peers drop, because it names more servers than fit into a message.
test('reports only the latest losses that suffice to refuse the request', () => {
  const { clock, suspicion } = make();
  const seen: suspicionTypes.ISuspicion[] = [];
  suspicion.onLoss((loss) => seen.push(loss));
  ['a', 'b', 'c'].forEach((server) => {
    suspicion.recordLoss('request', server);
    clock.advance(1);
  });
  expect(seen[2]?.servers).toEqual(['b', 'c']);
});

test.each([
  [{ instance: 'i-1', startedAtMs: 36 }, { instance: 'i-1', startedAtMs: 37 }, 2],
  [{ instance: 'i-1' }, { instance: 'i-2' }, 2],
  [{}, {}, 1],
])('processes %j and %j at one address count as %i', (first, second, count) => {
  const server = fixtures.makeTable().servers.get('status')?.[0] as tableTypes.IServerRow;
  const processes = [first, second].map((process) => ({ ...server, ...process }));
  expect(new Set(processes.map(requestSuspicion.processKeyOf)).size).toBe(count);
});
