import * as singleServerRig from './testing/SingleServerRig';

jest.setTimeout(60_000);

const SERVED = Array.from({ length: 10 }, () => 200);
const REFUSED = Array.from({ length: 10 }, () => 503);

let rig: singleServerRig.SingleServerRig;

beforeEach(async () => {
  rig = await singleServerRig.SingleServerRig.make();
  rig.publish(1, ['/a/']);
  await rig.daemon.start();
  expect(await rig.statusesOnceServed('/a/')).toEqual(SERVED);
});

afterEach(() => rig.stop());

// Guards against an evacuation without effect, and against a failure domain that never comes back.
test('a failure domain gets no requests from its evacuation until it is taken back', async () => {
  rig.store.put('op/evacuate/a', {});
  expect(await rig.statusesOnceRefused('/a/')).toEqual(REFUSED);
  rig.store.remove('op/evacuate/a');
  expect(await rig.statusesOnceServed('/a/')).toEqual(SERVED);
});

// Guards against an evacuation that ends because the directory service is out of reach.
test('an evacuation stays in force while the store is away', async () => {
  rig.store.put('op/evacuate/a', {});
  expect(await rig.statusesOnceRefused('/a/')).toEqual(REFUSED);
  rig.store.fault = 'reset';
  rig.store.compact();
  expect(await rig.statusesOnceRefused('/a/')).toEqual(REFUSED);
  rig.store.fault = 'none';
});

test('the evacuation of an unknown failure domain changes nothing', async () => {
  rig.store.put('op/evacuate/nowhere', {});
  rig.publish(2, ['/a/', '/b/']);
  expect(await rig.statusesOnceServed('/b/')).toEqual(SERVED);
});
