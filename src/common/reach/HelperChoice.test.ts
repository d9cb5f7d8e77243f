import * as manualClock from '../ManualClock';
import * as seededRandom from '../SeededRandom';
import * as helperChoice from './HelperChoice';
import type * as reachTypes from './Types';

const OWN = { address: '10.0.0.0:1', failureDomain: 'a' };

let clock: manualClock.ManualClock;
let peers: reachTypes.IHelper[];
let helpers: helperChoice.HelperChoice;

beforeEach(() => {
  clock = new manualClock.ManualClock();
  peers = Array.from({ length: 24 }, (_, index) => ({
    address: `10.0.0.${index + 1}:1`,
    failureDomain: index < 12 ? 'a' : 'b',
  }));
  const random = new seededRandom.SeededRandom(1);
  helpers = new helperChoice.HelperChoice(OWN, () => peers, clock, random);
});

function chosen(count: number): Set<string | undefined> {
  return new Set(Array.from({ length: count }, () => helpers.choose(new Set())));
}

function domainOf(address: string | undefined): string | undefined {
  return peers.find((peer) => peer.address === address)?.failureDomain;
}

test('calls are spread over a few helpers of the own failure domain', () => {
  const addresses = chosen(100);
  expect(addresses.size).toBe(4);
  addresses.forEach((address) => expect(domainOf(address)).toBe('a'));
});

// Guards against daemons that all choose the same helpers.
test('different daemons choose different helpers', () => {
  const random = new seededRandom.SeededRandom(1);
  const all = Array.from({ length: 30 }, (_, index) => {
    const own = { ...OWN, address: `10.0.1.${index}:1` };
    const choice = new helperChoice.HelperChoice(own, () => peers, clock, random);
    return choice.choose(new Set());
  });
  expect(new Set(all).size).toBeGreaterThan(8);
});

test('a peer that could not help is asked again after a while', () => {
  peers = peers.slice(0, 1);
  helpers.avoid('10.0.0.1:1');
  expect(helpers.choose(new Set())).toBeUndefined();
  clock.advance(2_000);
  expect(helpers.choose(new Set())).toBe('10.0.0.1:1');
});

// Guards against calls that ask one peer after the other of a failure domain that is cut off.
test('a failure domain in which several peers could not help is left out', () => {
  const asked = new Set<string>();
  for (let count = 0; count < 4; count += 1) {
    const helper = helpers.choose(asked) as string;
    asked.add(helper);
    helpers.avoid(helper);
  }
  chosen(50).forEach((address) => expect(domainOf(address)).toBe('b'));
});

test('a call does not ask the same peer twice', () => {
  expect(helpers.choose(new Set(peers.map(({ address }) => address)))).toBeUndefined();
});
