import * as readRoles from './ReadRoles';

function addressesOf(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `10.0.${index >> 8}.${index & 255}:1`);
}

// Guards against a follower without readers, and against reader load that grows with the fleet.
test.each([1, 2, 3, 15, 19, 133, 449])(
  'in a fleet of %i, two readers notify each follower',
  (count) => {
    const fleet = addressesOf(count);
    const roles = fleet.map((own) => readRoles.roleOf(own, fleet));
    const readers = roles.filter(({ isReader }) => isReader).length;
    expect(readers).toBe(Math.min(count, Math.max(2, Math.ceil(count / 16))));
    const notified = roles.flatMap(({ followers }) => followers);
    fleet.forEach((address, index) => {
      const expected = roles[index]?.isReader === true ? 0 : 2;
      expect(notified.filter((follower) => follower === address)).toHaveLength(expected);
    });
    roles.forEach(({ followers }) => expect(followers.length).toBeLessThanOrEqual(32));
  },
);

test('a daemon without known peers is a reader', () => {
  expect(readRoles.roleOf('10.0.0.1:1', [])).toEqual({ isReader: true, followers: [] });
});
