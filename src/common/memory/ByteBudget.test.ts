import * as fastCheck from 'fast-check';

import * as byteBudget from './ByteBudget';
import type * as memoryTypes from './Types';

const LIMIT = 1_000;
const RESERVE = 200;
const ANSWERS = 950;
const CONNECTIONS = 400;
const LIMITS = {
  totalBytes: LIMIT,
  answerReserveBytes: RESERVE,
  answerBytes: ANSWERS,
  connectionBytes: CONNECTIONS,
};

let budget: byteBudget.ByteBudget;
let evicted: string[];

beforeEach(() => {
  budget = new byteBudget.ByteBudget(LIMITS);
  evicted = [];
});

function answer(name: string): memoryTypes.IReservation {
  return budget.reserveAnswer(() => evicted.push(name));
}

// Guards against uploads within the limits that together take a daemon over its memory.
test('a request that does not fit gets nothing, and those before it keep theirs', () => {
  const [first, second] = [budget.reserveRequest(), budget.reserveRequest()];
  expect(first.grow(500)).toBe(true);
  expect(second.grow(301)).toBe(false);
  expect(second.grow(300)).toBe(true);
  expect(budget.bytesOf('request')).toBe(LIMIT - RESERVE);
  first.dispose();
  expect(second.grow(500)).toBe(true);
});

// Guards against requests that leave no room for the answers of those that were run.
test('requests leave a reserve to answers', () => {
  expect(budget.reserveRequest().grow(800)).toBe(true);
  expect(answer('a').grow(200)).toBe(true);
  expect(evicted).toEqual([]);
});

// Guards against small answers that are lost because of one without end.
test('the largest answer ends if another one does not fit', () => {
  const endless = answer('endless');
  const small = answer('small');
  expect(endless.grow(850)).toBe(true);
  expect(small.grow(100)).toBe(true);
  expect(small.grow(50)).toBe(true);
  expect(evicted).toEqual(['endless']);
  expect(endless.grow(1)).toBe(false);
  expect(budget.totalBytes).toBe(150);
});

test('the largest answer ends itself by what it asks for', () => {
  const endless = answer('endless');
  endless.grow(900);
  answer('small').grow(50);
  expect(endless.grow(1)).toBe(false);
  expect(evicted).toEqual([]);
  expect(endless.bytes).toBe(900);
});

test('replies count and are never refused', () => {
  const reply = budget.holdReply(2 * LIMIT);
  expect(answer('a').grow(1)).toBe(false);
  expect(budget.reserveRequest().grow(1)).toBe(false);
  reply.dispose();
  reply.dispose();
  expect(budget.totalBytes).toBe(0);
});

function connection(name: string, replyBytes = 0): memoryTypes.IConnectionAccount {
  let bytes = 0;
  const account: memoryTypes.IConnectionAccount = budget.holdConnection({
    get weight() {
      return bytes + replyBytes;
    },
    evict: () => evicted.push(name),
  });
  return {
    dispose: () => account.dispose(),
    set: (size) => {
      bytes = size;
      account.set(size);
    },
  };
}

// Guards against callers that each stay below a limit and together take a daemon over its memory.
test('the connection that holds most is closed when they hold too much together', () => {
  const [small, large] = [connection('small'), connection('large')];
  small.set(100);
  large.set(290);
  expect(budget.isShort).toBe(true);
  small.set(120);
  expect(evicted).toEqual(['large']);
  expect(budget.connectionBytes).toBe(120);
  large.set(500);
  small.dispose();
  expect(budget.connectionBytes).toBe(0);
});

// Guards against large answers that are held without limit for callers which do not read them.
test('replies close the connection that holds most, and connections leave less to bodies', () => {
  connection('reader').set(300);
  expect(budget.reserveRequest().grow(501)).toBe(false);
  expect(answer('a').grow(700)).toBe(true);
  expect(evicted).toEqual([]);
  const reply = budget.holdReply(750);
  const slow = connection('slow', 750);
  slow.set(1);
  expect(evicted).toEqual(['slow', 'reader']);
  reply.dispose();
  expect(budget.connectionBytes).toBe(0);
});

// Guards against a sum that drifts, after which nothing fits or everything does.
test('the sum is that of the reservations, within the limit', () => {
  const step = fastCheck.record({
    index: fastCheck.nat({ max: 5 }),
    bytes: fastCheck.option(fastCheck.nat({ max: 700 })),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 60 }), (steps) => {
      budget = new byteBudget.ByteBudget(LIMITS);
      const held = Array.from({ length: 6 }, (_, index) =>
        index < 3 ? budget.reserveRequest() : answer(`${index}`),
      );
      steps.forEach(({ index, bytes }) => {
        if (bytes === null) held[index]?.dispose();
        else held[index]?.grow(bytes);
        const sum = held.reduce((total, one) => total + one.bytes, 0);
        expect(budget.totalBytes).toBe(sum);
        expect(sum).toBeLessThanOrEqual(LIMIT);
      });
    }),
    { seed: 1 },
  );
});
