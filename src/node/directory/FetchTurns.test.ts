import * as manualClock from '../../common/ManualClock';
import * as fetchTurns from './FetchTurns';

let clock: manualClock.ManualClock;
let turns: fetchTurns.FetchTurns;
let begun: string[];

beforeEach(() => {
  clock = new manualClock.ManualClock();
  turns = new fetchTurns.FetchTurns(clock);
  begun = [];
});

/** Requests a turn for a fetch, and returns the function that ends the fetch. */
function request(name: string): () => Promise<void> {
  let end: () => void = () => undefined;
  const fetched = new Promise<void>((resolve) => {
    end = resolve;
  });
  const done = turns.run(() => {
    begun.push(name);
    return fetched;
  });
  return () => {
    end();
    return done;
  };
}

// Guards against several copies of one change that a daemon fetches at the same time.
test('a fetch waits for the one before it, and only the latest one waits', async () => {
  const endFirst = request('first');
  request('second');
  request('third');
  expect(begun).toEqual(['first']);
  await endFirst();
  await Promise.resolve();
  expect(begun).toEqual(['first', 'third']);
});

// Guards against changes that no daemon is asked for any more after one did not reply.
test('a fetch without an end gives up its turn, and its late end frees no other turn', async () => {
  const endFirst = request('first');
  request('second');
  clock.advance(1_000);
  await Promise.resolve();
  expect(begun).toEqual(['first', 'second']);
  request('third');
  await endFirst();
  expect(begun).toEqual(['first', 'second']);
});
