import * as manualClock from '../ManualClock';
import * as seededRandom from '../SeededRandom';
import * as coldShare from './ColdShare';

const SECOND_MS = 1_000;

/** Returns the most requests that a daemon with all of a budget can send in one second. */
function mostOf({ perSecond, burst }: coldShare.IColdBudget): number {
  return burst >= 1 ? perSecond + burst : 0;
}

// Guards against two parts of a fleet whose budgets together exceed the bound.
test.each([0.3, 1, 2, 4.1, 7.2, 100])('two budgets for a rate of %f keep to the bound', (rate) => {
  [1, 1.5, 3].forEach((rateFactor) =>
    [0, 0.5, 8, 50].forEach((rateAllowance) => {
      const budget = coldShare.budgetOf(rate, { rateFactor, rateAllowance });
      expect(2 * mostOf(budget)).toBeLessThanOrEqual(rate * rateFactor + rateAllowance + 1e-9);
      expect(budget.perSecond).toBeLessThanOrEqual(rate);
      expect(budget.perSecond).toBeGreaterThanOrEqual(0);
    }),
  );
});

// Guards against a small bound that lets no request pass although there is room for some.
test('a bound of more than two requests a second lets some pass', () => {
  const budget = coldShare.budgetOf(2, { rateFactor: 1.5, rateAllowance: 0 });
  expect(budget).toEqual({ perSecond: 0.5, burst: 1 });
});

function makeShare(clock: manualClock.ManualClock, own: string, members?: readonly string[]) {
  const random = new seededRandom.SeededRandom(1);
  const share = new coldShare.ColdShare('10.0.0.1:80', clock, random, { own, members });
  share.setBudget({ perSecond: 4, burst: 4 });
  return share;
}

// Guards against daemons that become holders one after the other, and each begin with a permit.
test('a daemon that becomes a holder begins without a permit', () => {
  const clock = new manualClock.ManualClock();
  const members = Array.from({ length: 20 }, (_, index) => `d-${index}`);
  const own = members.find((daemon) => makeShare(clock, daemon, members).perSecond === 0) as string;
  const share = makeShare(clock, own, members);
  share.begin(0);
  clock.advance(60 * SECOND_MS);
  expect(share.hasPermit).toBe(false);
  share.setView({ own, members: [own] });
  expect(share.hasPermit).toBe(false);
  clock.advance(SECOND_MS / 4);
  expect(share.hasPermit).toBe(true);
});

// Guards against a server that is cold, warm and cold again in a moment, and gets the first permits of
// each time.
test('a server that is cold again gets no more permits than are left', () => {
  const clock = new manualClock.ManualClock();
  const share = makeShare(clock, 'd-1', ['d-1']);
  let sent = 0;
  for (let round = 0; round < 100; round += 1) {
    share.begin(0);
    clock.advance(10);
    while (share.hasPermit) {
      share.recordRequest();
      sent += 1;
    }
  }
  // One second at the rate, and what was saved.
  expect(sent).toBeLessThanOrEqual(4 + 4);
});

// Guards against a permit that was drawn at random and is kept once the members are known.
test('a daemon that gets to know the members begins without a permit', () => {
  const clock = new manualClock.ManualClock();
  const share = makeShare(clock, 'd-1');
  share.begin(0);
  while (!share.hasPermit) clock.advance(SECOND_MS);
  share.setView({ own: 'd-1', members: ['d-1'] });
  expect(share.hasPermit).toBe(false);
});

test('each of the holders has the same part, and the others have none', () => {
  const clock = new manualClock.ManualClock();
  const members = Array.from({ length: 20 }, (_, index) => `d-${index}`);
  const rates = members.map((own) => makeShare(clock, own, members).perSecond);
  expect(rates.filter((rate) => rate === 1)).toHaveLength(4);
  expect(rates.filter((rate) => rate === 0)).toHaveLength(16);
});
