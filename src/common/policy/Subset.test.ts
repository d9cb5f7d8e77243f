import type * as tableTypes from '../table/Types';
import * as subset from './Subset';

function rowsOf(count: number): readonly tableTypes.IServerRow[] {
  return Array.from({ length: count }, (_item, index) => ({
    service: 'status',
    address: `10.0.0.${index}:80`,
    failureDomain: `domain-${index % 3}`,
    weight: 1,
    slots: 3,
    maxConnections: 200,
  }));
}

test('a service smaller than the subset size is used as a whole', () => {
  const rows = rowsOf(15);
  expect(subset.subsetOf(rows, 'daemon-1')).toBe(rows);
});

test('a subset has the requested size and equal shares of the failure domains', () => {
  const chosen = subset.subsetOf(rowsOf(90), 'daemon-1', 12);
  const domains = chosen.map((row) => row.failureDomain).sort();
  expect(chosen).toHaveLength(12);
  expect(domains.filter((domain) => domain === 'domain-0')).toHaveLength(4);
  expect(domains.filter((domain) => domain === 'domain-1')).toHaveLength(4);
});

test('the removal of a server changes no other member of the subset', () => {
  const rows = rowsOf(90);
  const before = subset.subsetOf(rows, 'daemon-1', 12);
  const [removed] = before;
  const rest = rows.filter((row) => row !== removed);
  const after = new Set(subset.subsetOf(rest, 'daemon-1', 12));
  expect(before.filter((row) => !after.has(row))).toEqual([removed]);
});

test('every server is used by some daemon', () => {
  const rows = rowsOf(90);
  const daemons = Array.from({ length: 100 }, (_item, index) => `daemon-${index}`);
  const used = new Set(daemons.flatMap((daemon) => subset.subsetOf(rows, daemon, 12)));
  expect(used.size).toBe(90);
});
