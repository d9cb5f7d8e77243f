import * as seededRandom from '../SeededRandom';
import * as relayTree from './RelayTree';

const DOMAINS = 5;

function membersOf(count: number): relayTree.IRelayMember[] {
  return Array.from({ length: count }, (_, index) => ({
    address: `10.0.${index >> 8}.${index & 255}:1`,
    failureDomain: `domain-${index % DOMAINS}`,
  }));
}

function treeOf(own: relayTree.IRelayMember, fleet: readonly relayTree.IRelayMember[]) {
  const tree = new relayTree.RelayTree(own);
  tree.update(fleet.filter(({ address }) => address !== own.address));
  return tree;
}

// Guards against reads and notices of one daemon that grow with the fleet.
test.each([1, 2, 3, 15, 19, 33, 133, 312, 449, 1_000])(
  'in a fleet of %i daemons few read and each source has few followers',
  (count) => {
    const fleet = membersOf(count);
    const trees = fleet.map((own) => treeOf(own, fleet));
    const readers = trees.filter(({ isReader }) => isReader).length;
    expect(readers).toBe(Math.min(count, Math.max(2, Math.ceil(count / 100))));
    const followers = new Map<string, number>();
    trees
      .flatMap(({ sources }) => sources.slice(0, 2))
      .forEach((source) => followers.set(source, (followers.get(source) ?? 0) + 1));
    expect(Math.max(0, ...followers.values())).toBeLessThanOrEqual(64);
    trees
      .filter(({ isReader }) => !isReader)
      .forEach(({ sources }) => expect(sources.length).toBeGreaterThanOrEqual(2));
  },
);

// Guards against daemons that confirm each other's directory in a circle.
test('daemons with different member lists never follow each other in a circle', () => {
  const random = new seededRandom.SeededRandom(1);
  const fleet = membersOf(200);
  const trees = new Map(
    fleet.map((own) => [
      own.address,
      treeOf(
        own,
        fleet.filter(() => random.next() > 0.2),
      ),
    ]),
  );
  const reachesReader = (address: string, steps: number): boolean => {
    if (steps > fleet.length) return false;
    const tree = trees.get(address);
    if (tree === undefined || tree.isReader) return true;
    return tree.sources.every((source) => reachesReader(source, steps + 1));
  };
  fleet.forEach(({ address }) => expect(reachesReader(address, 0)).toBe(true));
});

// Guards against followers without a source in their own failure domain when it is cut off.
test('the first source of a follower is in its own failure domain where there is one', () => {
  const fleet = membersOf(312);
  const domainOf = new Map(fleet.map(({ address, failureDomain }) => [address, failureDomain]));
  const followers = fleet
    .map((own) => ({ own, tree: treeOf(own, fleet) }))
    .filter(({ tree }) => !tree.isReader && tree.sources.length > 4);
  const near = followers.filter(
    ({ own, tree }) => domainOf.get(tree.sources[0] as string) === own.failureDomain,
  );
  expect(near.length).toBe(followers.length);
});

test('a daemon without known peers is a reader, and stops being one when others are known', () => {
  const fleet = membersOf(100);
  const last = fleet.find((own) => treeOf(own, fleet).sources.length > 2) as relayTree.IRelayMember;
  const tree = new relayTree.RelayTree(last);
  tree.update([]);
  expect(tree.isReader).toBe(true);
  tree.update(fleet);
  expect(tree.isReader).toBe(false);
});
