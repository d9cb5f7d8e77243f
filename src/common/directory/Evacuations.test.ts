import * as manualClock from '../ManualClock';
import * as directoryModule from './Directory';
import type * as directoryTypes from './Types';

let directory: directoryModule.Directory;
let changes: number;

beforeEach(() => {
  directory = new directoryModule.Directory(new manualClock.ManualClock());
  changes = 0;
  directory.onChanged(() => {
    changes += 1;
  });
});

function evacuationOf(
  failureDomain: string,
  revision: number,
  isActive = true,
): directoryTypes.DirectoryRecord {
  return { kind: 'evacuation', revision, failureDomain, isActive };
}

function evacuated(): readonly string[] {
  return [...directory.evacuatedDomains].sort();
}

test('an evacuation is in force until it ends', () => {
  directory.apply([evacuationOf('a', 4)], 4);
  expect(evacuated()).toEqual(['a']);
  directory.apply([evacuationOf('a', 5, false), evacuationOf('b', 6)], 6);
  expect(evacuated()).toEqual(['b']);
  expect(changes).toBe(2);
});

// Guards against an evacuation that ends since a peer passes on what was true before it.
test('an older statement changes nothing', () => {
  directory.replace({ records: [evacuationOf('a', 4)], revision: 4 });
  directory.apply([evacuationOf('a', 3, false)], 5);
  directory.replace({ records: [], revision: 3 });
  expect(evacuated()).toEqual(['a']);
});

// Guards against a failure domain that stays empty, since its return was in the lost history.
test('a later listing without an evacuation ends it', () => {
  directory.apply([evacuationOf('a', 4)], 4);
  directory.replace({ records: [evacuationOf('b', 2)], revision: 7 });
  expect(evacuated()).toEqual(['b']);
});

// Guards against a daemon that learns of an evacuation or its end from a peer only, and does not.
test('peers get evacuations and their ends in listings and in changes', () => {
  directory.replace({ records: [evacuationOf('a', 2)], revision: 3 });
  directory.apply([evacuationOf('b', 4), evacuationOf('a', 5, false)], 5);
  const follower = new directoryModule.Directory(new manualClock.ManualClock());
  follower.replace({ records: [evacuationOf('a', 2)], revision: 3 });
  const sent = directory.changesSince(3) as directoryTypes.IDirectoryChanges;
  follower.apply(sent.records, sent.revision);
  expect([...follower.evacuatedDomains]).toEqual(['b']);
  const late = new directoryModule.Directory(new manualClock.ManualClock());
  late.replace(directory.listing);
  expect([...late.evacuatedDomains]).toEqual(['b']);
});

// Guards against a writer of many keys that takes the memory of all daemons.
test('the number of failure domains that are remembered is bounded', () => {
  const records = Array.from({ length: 2_000 }, (_, index) => evacuationOf(`d${index}`, index + 1));
  directory.apply(records, 2_000);
  expect(evacuated()).toHaveLength(1_000);
});
