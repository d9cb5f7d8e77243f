import * as manualClock from '../ManualClock';
import * as memberRecords from './MemberRecords';
import * as memberTable from './MemberTable';
import type * as membershipTypes from './Types';

const OWN = '10.0.0.1:7000';
const OTHER = '10.0.0.2:7000';

function record(change: Partial<membershipTypes.IMember> = {}): membershipTypes.IMember {
  const base = { address: OTHER, incarnation: 5, heartbeat: 1, failureDomain: 'a' };
  return { ...base, leaving: false, tableVersion: 1, ...change };
}

function setUp() {
  const clock = new manualClock.ManualClock();
  const table = new memberTable.MemberTable(OWN, clock);
  const advance = (durationMs: number) => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 500) {
      clock.advance(500);
      table.removeExpired();
    }
  };
  const state = () => table.statuses[0]?.state;
  return { clock, table, advance, state };
}

test('a silent member is suspected after 5 s, removed after 30 s and known for 10 min more', () => {
  const { table, advance, state } = setUp();
  table.merge(record());
  advance(4_500);
  expect(state()).toBe('live');
  advance(500);
  expect(state()).toBe('suspected');
  advance(24_500);
  expect(table.count).toBe(2);
  advance(500);
  expect(table.count).toBe(1);
  expect(table.isKnown(OTHER)).toBe(true);
  advance(599_500);
  expect(table.isKnown(OTHER)).toBe(true);
  advance(500);
  expect(table.isKnown(OTHER)).toBe(false);
});

test('a heartbeat that does not advance does not keep a member live', () => {
  const { table, advance, state } = setUp();
  table.merge(record({ heartbeat: 9 }));
  advance(4_000);
  table.merge(record({ heartbeat: 9 }));
  table.merge(record({ heartbeat: 8 }));
  advance(1_000);
  expect(state()).toBe('suspected');
  table.merge(record({ heartbeat: 10 }));
  expect(state()).toBe('live');
});

test('a late record of an earlier incarnation neither replaces nor restores a member', () => {
  const { table, advance } = setUp();
  table.merge(record({ incarnation: 6, heartbeat: 1 }));
  table.merge(record({ incarnation: 5, heartbeat: 900 }));
  expect(table.recordOf(OTHER)?.incarnation).toBe(6);
  advance(31_000);
  table.merge(record({ incarnation: 5, heartbeat: 901 }));
  table.merge(record({ incarnation: 6, heartbeat: 1 }));
  expect(table.count).toBe(1);
  table.merge(record({ incarnation: 6, heartbeat: 2 }));
  expect(table.count).toBe(2);
});

test('a restart is reported once and starts from the new record', () => {
  const { table } = setUp();
  const kinds: string[] = [];
  table.onChanged(({ kind }) => kinds.push(kind));
  table.merge(record({ heartbeat: 70, leaving: true, tableVersion: 8 }));
  table.merge(record({ incarnation: 6, heartbeat: 1, tableVersion: 0 }));
  table.merge(record({ incarnation: 6, heartbeat: 2, tableVersion: 0 }));
  expect(kinds).toEqual(['joined', 'restarted']);
  expect(table.recordOf(OTHER)).toMatchObject({ leaving: false, tableVersion: 0 });
});

test('a leaving member is not a peer and is removed after 5 s without a heartbeat', () => {
  const { table, advance } = setUp();
  table.merge(record({ leaving: true }));
  expect(table.peers).toEqual([]);
  expect(table.statuses[0]?.state).toBe('leaving');
  advance(5_000);
  expect(table.count).toBe(1);
});

test('the VM list adds peers, and marks leaving daemons and backend servers', () => {
  const { table } = setUp();
  const vm = (address: string, role: 'daemon' | 'backend-server', state: 'live' | 'leaving') => ({
    ...{ address, role, state },
    failureDomain: 'a',
  });
  table.updateVmList({
    revision: 1,
    vms: [
      vm(OWN, 'daemon', 'live'),
      vm(OTHER, 'daemon', 'live'),
      vm('10.0.0.3:7000', 'daemon', 'leaving'),
      vm('10.0.9.1:8080', 'backend-server', 'leaving'),
      vm('10.0.9.2:8080', 'backend-server', 'live'),
    ],
  });
  expect(table.peers).toEqual([OTHER]);
  expect([...table.leavingServers]).toEqual(['10.0.9.1:8080']);
  // Listed daemons are not counted as members, since they may have been replaced already.
  expect(table.count).toBe(1);
  table.merge(record({ address: '10.0.0.4:7000' }));
  table.updateVmList({ revision: 2, vms: [] });
  expect(table.peers).toEqual(['10.0.0.4:7000']);
});

test('a detected or reported pause of this process suspects members but removes none', () => {
  const { clock, table, state } = setUp();
  table.merge(record());
  clock.pause(3_600_000);
  table.removeExpired();
  expect(state()).toBe('suspected');
  expect(table.count).toBe(2);
  table.merge(record({ heartbeat: 2 }));
  expect(state()).toBe('live');
  table.suspectAll();
  expect(state()).toBe('suspected');
});

test('a heartbeat without a record advances the member with that id only', () => {
  const { table, advance, state } = setUp();
  table.merge(record());
  const id = memberRecords.heartbeatIdOf(record());
  advance(6_000);
  table.mergeHeartbeat(id, 1);
  expect(state()).toBe('suspected');
  table.mergeHeartbeat(id, 2);
  expect(state()).toBe('live');
  table.mergeHeartbeat(id + 1, 3);
  expect(table.recordOf(OTHER)?.heartbeat).toBe(2);
});

test('a record of this daemon adds no member, but its incarnation is reported', () => {
  const { table } = setUp();
  table.merge(record({ address: OWN, incarnation: 77 }));
  expect(table.count).toBe(1);
  expect(table.reportedOwnIncarnation).toBe(77);
});

test('incarnations increase with the start time and stay safe integers', () => {
  const first = memberRecords.newIncarnation(new Date(1_800_000_000_000), 0.999);
  const second = memberRecords.newIncarnation(new Date(1_800_000_000_001), 0);
  expect(second).toBeGreaterThan(first);
  expect(
    Number.isSafeInteger(memberRecords.newIncarnation(new Date(4_000_000_000_000), 0.999)),
  ).toBe(true);
});
