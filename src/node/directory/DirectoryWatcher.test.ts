import * as bunyan from 'bunyan';

import * as confirmationModule from '../../common/directory/Confirmation';
import * as directoryModule from '../../common/directory/Directory';
import type * as directoryTypes from '../../common/directory/Types';
import * as manualClock from '../../common/ManualClock';
import * as seededRandom from '../../common/SeededRandom';
import type * as types from '../../common/Types';
import * as directoryWatcher from './DirectoryWatcher';
import type * as nodeTypes from './Types';

type Failure = directoryTypes.DirectoryFailure;
type ResolveRead = (
  result: types.Result<
    directoryTypes.IDirectoryListing & directoryTypes.IDirectoryChanges,
    Failure
  >,
) => void;

const UNAVAILABLE: Failure = { kind: 'unavailable', detail: 'test' };

/** A source whose reads the test resolves. */
class FakeSource implements nodeTypes.IDirectorySource {
  public readonly reads: string[] = [];

  public staleLists = 0;

  private resolveRead: ResolveRead = () => undefined;

  public list(mayBeStale: boolean): ReturnType<nodeTypes.IDirectorySource['list']> {
    this.staleLists += mayBeStale ? 1 : 0;
    return this.read('list');
  }

  public watch(revision: number): ReturnType<nodeTypes.IDirectorySource['watch']> {
    return this.read(`watch ${revision}`);
  }

  public reset(): void {
    this.resolveRead({ ok: false, error: UNAVAILABLE });
  }

  public async respond(...[result]: Parameters<ResolveRead>): Promise<void> {
    this.resolveRead(result);
    await new Promise(setImmediate);
  }

  private read(name: string): Promise<Parameters<ResolveRead>[0]> {
    this.reads.push(name);
    return new Promise((resolve) => {
      this.resolveRead = resolve;
    });
  }
}

let clock: manualClock.ManualClock;
let directory: directoryModule.Directory;
let confirmation: confirmationModule.Confirmation;
let source: FakeSource;
let readRole: directoryTypes.ReadRole;
let watcher: directoryWatcher.DirectoryWatcher;

beforeEach(() => {
  clock = new manualClock.ManualClock();
  directory = new directoryModule.Directory(clock);
  confirmation = new confirmationModule.Confirmation(clock, () => 2_000);
  source = new FakeSource();
  readRole = 'reader';
  watcher = new directoryWatcher.DirectoryWatcher(
    source,
    directory,
    confirmation,
    bunyan.createLogger({ name: 'test', streams: [] }),
    clock,
    new seededRandom.SeededRandom(1),
    () => readRole,
  );
  watcher.start();
});

afterEach(() => watcher.dispose());

async function advance(durationMs: number): Promise<void> {
  clock.advance(durationMs);
  await new Promise(setImmediate);
}

function contentAt(revision: number, records: readonly directoryTypes.DirectoryRecord[] = []) {
  return { ok: true as const, value: { records, revision } };
}

test('a listing is followed by watches from its revision', async () => {
  await source.respond(contentAt(4));
  await source.respond(contentAt(4));
  await source.respond(contentAt(6));
  expect(source.reads).toEqual(['list', 'watch 4', 'watch 4', 'watch 6']);
});

// Guards against changes lost when the store forgets its history.
test('after a loss of history the directory is listed again immediately', async () => {
  await source.respond(contentAt(4));
  await source.respond({ ok: false, error: { kind: 'history-lost' } });
  expect(source.reads).toEqual(['list', 'watch 4', 'list']);
});

// Guards against a change missed by an interrupted watch (scale-2 of ogsl-gate).
test('after a failed watch the directory is listed again', async () => {
  await source.respond(contentAt(4));
  await source.respond({ ok: false, error: UNAVAILABLE });
  await advance(100);
  expect(source.reads).toEqual(['list', 'watch 4', 'list']);
});

// Guards against a storm of reads while the store is down.
test('failed reads are retried with backoff', async () => {
  for (let second = 0; second < 10; second += 1) {
    for (let step = 0; step < 10; step += 1) {
      await source.respond({ ok: false, error: UNAVAILABLE });

      await advance(100);
    }
  }
  expect(source.reads.length).toBeGreaterThanOrEqual(10);
  expect(source.reads.length).toBeLessThanOrEqual(24);
});

// Guards against running servers that are dropped when the store recovers.
test('the grace period for expired servers starts when the store recovers', async () => {
  const server = { id: '1', address: 'a', state: 'ready' } as directoryTypes.IRegistration;
  await source.respond(contentAt(4, [{ kind: 'server', revision: 4, server }]));
  await source.respond({ ok: false, error: UNAVAILABLE });
  await advance(1_500);
  await source.respond(contentAt(9));
  expect(directory.servers).toHaveLength(1);
  await advance(directoryModule.EXPIRY_GRACE_MS);
  expect(directory.servers).toHaveLength(0);
});

// Guards against the late result of a read that began before a pause.
test('the result of a read begun before a restart is discarded', async () => {
  await source.respond(contentAt(4));
  watcher.restart();
  await advance(0);
  await source.respond(contentAt(8));
  expect(directory.revision).toBe(8);
  expect(source.reads).toEqual(['list', 'watch 4', 'list', 'watch 8']);
});

// Guards against a directory that counts as complete although its listing may be seconds old.
test('only the first listing may be stale, and the next watch confirms the directory', async () => {
  await source.respond(contentAt(4));
  expect(confirmation.remainingMs).toBe(0);
  expect(source.reads).toEqual(['list', 'watch 4']);
  await source.respond(contentAt(9));
  expect(confirmation.remainingMs).toBeGreaterThan(0);
  await source.respond({ ok: false, error: { kind: 'history-lost' } });
  expect(source.reads.at(-1)).toBe('list');
  expect(source.staleLists).toBe(1);
});

// Guards against an outage measured from the last read by this daemon itself (inc-11f7: 24.9 s
// instead of 12 s), and against a grace period for servers that did not expire.
test('an outage begins no earlier than the last confirmation by a peer', async () => {
  const startGracePeriod = jest.spyOn(directory, 'startGracePeriod');
  await source.respond(contentAt(4));
  await source.respond(contentAt(4));
  await source.respond(contentAt(4));
  readRole = 'follower';
  await source.respond(contentAt(4));
  await advance(20_000);
  confirmation.confirm();
  readRole = 'reader';
  await advance(100);
  await source.respond({ ok: false, error: UNAVAILABLE });
  await advance(100);
  await source.respond(contentAt(5));
  expect(startGracePeriod).not.toHaveBeenCalled();
});

// Guards against reads of the whole fleet that arrive together when the store recovers.
test('a daemon that is not a reader retries rarely, and needs no listing once a peer confirms', async () => {
  await source.respond(contentAt(4));
  readRole = 'fallback';
  await source.respond({ ok: false, error: UNAVAILABLE });
  await advance(1_000);
  expect(source.reads).toEqual(['list', 'watch 4']);
  confirmation.confirm();
  await advance(2_500);
  expect(source.reads).toEqual(['list', 'watch 4', 'watch 4']);
});

// Guards against changes missed by an interrupted watch that nobody has delivered since.
test('a daemon that nobody confirmed since its failed read lists again', async () => {
  await source.respond(contentAt(4));
  readRole = 'fallback';
  await source.respond({ ok: false, error: UNAVAILABLE });
  await advance(3_000);
  expect(source.reads).toEqual(['list', 'watch 4', 'list']);
});

// Guards against one unexpected error that ends all reads of a daemon.
test('after an error while a change is applied, the directory is read again', async () => {
  await source.respond(contentAt(4));
  jest.spyOn(directory, 'apply').mockImplementationOnce(() => {
    throw new Error('unexpected');
  });
  await source.respond(contentAt(6));
  await advance(100);
  await source.respond(contentAt(6));
  expect(source.reads).toEqual(['list', 'watch 4', 'list', 'watch 6']);
});
