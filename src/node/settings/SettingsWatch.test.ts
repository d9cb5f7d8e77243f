import * as events from 'node:events';
import * as os from 'node:os';
import * as path from 'node:path';

import * as settingsWatch from './SettingsWatch';

let signals: events.EventEmitter;
let watch: settingsWatch.SettingsWatch;

beforeEach(() => {
  signals = new events.EventEmitter();
  watch = new settingsWatch.SettingsWatch(path.join(os.tmpdir(), 'absent'), signals);
  watch.start();
});

afterEach(() => watch.dispose());

// Guards against a change during the start that is not applied until the next one.
test('a signal before the daemon is there is handled once it is', () => {
  const reload = jest.fn().mockReturnValue(new Promise(() => undefined));
  signals.emit('SIGHUP');
  watch.apply(reload);
  expect(reload).toHaveBeenCalledTimes(1);
});

// Guards against an older read of the settings that is applied after a newer one.
test('a signal during a reload is handled after it', async () => {
  const ends: (() => void)[] = [];
  const reload = jest.fn(
    () =>
      new Promise<void>((resolve) => {
        ends.push(resolve);
      }),
  );
  watch.apply(reload);
  signals.emit('SIGHUP');
  signals.emit('SIGHUP');
  expect(reload).toHaveBeenCalledTimes(1);
  ends[0]?.();
  await new Promise(setImmediate);
  expect(reload).toHaveBeenCalledTimes(2);
});
