import * as platformRecords from './testing/PlatformRecords';
import * as singleServerRig from './testing/SingleServerRig';

jest.setTimeout(30_000);

let rig: singleServerRig.SingleServerRig;

beforeEach(async () => {
  rig = await singleServerRig.SingleServerRig.make();
  rig.publish(1, ['/a/']);
  await rig.daemon.start();
});

afterEach(() => rig.stop());

async function expectServed(path: string): Promise<void> {
  expect(new Set(await rig.statusesOnceServed(path))).toEqual(new Set([200]));
}

// Guards against a change that was confirmed after the restore, under a revision that is known from
// before it, and is never in force.
test.each([0, 1, 3])(
  'a route that is added after the store was restored is served (%i changes lost)',
  async (lost) => {
    await expectServed('/a/1');
    const copy = rig.store.copy();
    for (let change = 0; change < lost; change += 1) rig.publish(2 + change, ['/a/', '/b/']);
    if (lost > 0) await expectServed('/b/1');
    rig.store.restore(copy);
    rig.publish(10, ['/a/', '/b/', '/c/']);
    await expectServed('/c/1');
  },
);

// Guards against callers who lose a route because the store came back with an older configuration.
test('the newest configuration stays in force while the store has an older one', async () => {
  await expectServed('/a/1');
  const copy = rig.store.copy();
  rig.publish(2, ['/a/', '/b/']);
  await expectServed('/b/1');
  rig.store.restore(copy);
  rig.store.put('servers/i-9', platformRecords.makeServerEntry('reads', '127.0.0.1:1'));
  for (let tries = 0; tries < 20; tries += 1) {
    expect(await rig.statusOf('/b/1')).toBe(200);
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
  }
  rig.publish(2, ['/a/', '/b/']);
  expect(await rig.statusOf('/b/1')).toBe(200);
});
