import * as undici from 'undici';

import * as manualClock from '../common/ManualClock';
import * as configurationService from './ConfigurationService';

async function open(vmListLagMs = 0) {
  const clock = new manualClock.ManualClock();
  const options = { vmListLagMs, slowMs: 1_000 };
  const service = new configurationService.ConfigurationService(clock, options);
  const port = await service.listen();
  const read = (query: string) => undici.fetch(`http://127.0.0.1:${port}/values/${query}`);
  return { clock, service, read };
}

test('a watch waits for the next revision and counts as one call', async () => {
  const { service, read } = await open();
  service.publish('table', 'one');
  expect((await read('table?after=1')).status).toBe(304);
  const watch = read('table?after=1&waitMs=60000');
  // Waits until the service has received the watch, so that the publication must notify it.
  while (service.calls < 2) await new Promise(setImmediate);
  service.publish('table', 'two');
  const reply = await watch;
  expect([reply.headers.get('revision'), await reply.text()]).toEqual(['2', 'two']);
  expect(service.calls).toBe(2);
  await service.close();
});

test('a stale service returns old values to the chosen readers only', async () => {
  const { service, read } = await open();
  service.publish('table', 'old');
  service.setMode('stale', ['10.0.0.9']);
  service.publish('table', 'new');
  expect(await (await read('table')).text()).toBe('new');
  service.setMode('stale', ['127.0.0.1']);
  service.publish('table', 'newest');
  expect(await (await read('table')).text()).toBe('new');
  service.setMode('up');
  expect(await (await read('table')).text()).toBe('newest');
  await service.close();
});

test('the VM list becomes visible after its lag', async () => {
  const { clock, service, read } = await open(500);
  service.publish('vms', 'one');
  service.publish('vms', 'two');
  expect(await (await read('vms')).text()).toBe('one');
  clock.advance(500);
  expect(await (await read('vms')).text()).toBe('two');
  await service.close();
});

test('a service that is down breaks connections', async () => {
  const { service, read } = await open();
  service.publish('table', 'one');
  service.setMode('down');
  await expect(read('table')).rejects.toThrow();
  await service.close();
});
