import * as cutFleet from './testing/CutFleet';

const DAEMONS = 12;

/** Time after the start of a cut from which on callers have to be served, in milliseconds. */
const STABLE_MS = 3_000;

let fleet: cutFleet.CutFleet;

beforeEach(() => {
  fleet = new cutFleet.CutFleet(DAEMONS, 7, (daemon) => `domain-${daemon % 3}`);
});

afterEach(() => fleet.dispose());

function servedShare(requests: readonly cutFleet.ISimulatedRequest[]): number {
  const served = requests.filter(({ outcome }) => outcome?.kind === 'answered').length;
  return served / requests.length;
}

const FIRST = [0];
const DOMAIN = [0, 3, 6, 9];
const MOST = [0, 1, 2, 3, 4, 5, 6, 8];

// Guards against callers who are not served because the daemon that they reach has lost all servers.
test.each([
  ['silent', FIRST],
  ['refused', FIRST],
  ['silent', DOMAIN],
  ['refused', DOMAIN],
  ['silent', MOST],
  ['refused', MOST],
] as const)('callers of daemons that are cut off (%s, %j) are served by others', (cut, daemons) => {
  fleet.play(2_000, 200);
  fleet.setCut(daemons, cut);
  fleet.play(STABLE_MS, 200);
  const first = fleet.requests.length;
  fleet.play(6_000, 200);
  fleet.clock.advance(2_000);
  const isCut = ({ daemon }: cutFleet.ISimulatedRequest) =>
    (daemons as readonly number[]).includes(daemon);
  const judged = fleet.requests.slice(first);
  const others = servedShare(judged.filter((request) => !isCut(request)));
  expect(servedShare(judged.filter(isCut))).toBeGreaterThanOrEqual((2 / 3) * others);
  const failed = judged.filter(({ outcome }) => outcome?.kind !== 'answered').length;
  expect(failed).toBeLessThanOrEqual(10 + judged.length / 50);
});

// Guards against a request that is run by the server and once more by a peer.
test('a request that must not be repeated runs at most once, and "not run" is true', () => {
  for (let round = 0; round < 6; round += 1) {
    fleet.play(700, 200);
    fleet.setCut(MOST, round % 2 === 0 ? 'silent' : 'refused');
    fleet.play(1_300, 200);
    fleet.setCut(MOST, 'none');
  }
  fleet.clock.advance(2_000);
  fleet.requests.forEach(({ outcome, isRepeatable }, index) => {
    const runs = fleet.runs.get(`${index}`) ?? 0;
    if (!isRepeatable) expect(runs).toBeLessThanOrEqual(1);
    if (outcome?.kind === 'not-run') expect(runs).toBe(0);
    expect(outcome).toBeDefined();
  });
});

// Guards against daemons that take the loss of a service for their own, and send calls round.
test('when no daemon reaches a server, calls are refused as not run at once', () => {
  const all = Array.from({ length: DAEMONS }, (_, daemon) => daemon);
  fleet.play(1_000, 200);
  fleet.setCut(all, 'refused');
  fleet.play(2_000, 200);
  const first = fleet.requests.length;
  fleet.play(1_000, 200);
  fleet.clock.advance(200);
  fleet.requests.slice(first).forEach(({ outcome }) => expect(outcome?.kind).toBe('not-run'));
});

test('after a cut each daemon uses its servers again', () => {
  fleet.setCut(MOST, 'silent');
  fleet.play(3_000, 200);
  fleet.setCut(MOST, 'none');
  fleet.play(1_000, 200);
  fleet.reaches.forEach((reach) => expect(reach.lostServices).toEqual([]));
});
