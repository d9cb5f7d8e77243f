import * as net from 'node:net';

import * as undici from 'undici';

import type * as routedDaemon from '../node/RoutedDaemon';
import * as freePorts from '../standin/FreePorts';
import * as platformDaemon from './testing/PlatformDaemon';
import * as platformRecords from './testing/PlatformRecords';
import * as platformServer from './testing/PlatformServer';
import * as platformStore from './testing/PlatformStore';

const REQUESTS = 300;

const RULE = {
  prefix: '/x/',
  split: [
    { service: 'new', weight: 1 },
    { service: 'old', weight: 3 },
  ],
};

jest.setTimeout(60_000);

let store: platformStore.PlatformStore;
let newServer: platformServer.PlatformServer;
let oldServer: platformServer.PlatformServer;
let newAddress: string;
let daemon: routedDaemon.RoutedDaemon;
let url: string;

async function send(path = '/x/1') {
  const response = await undici.request(`${url}${path}`, {
    headers: { host: platformRecords.HOST, 'request-id': 'a', 'request-deadline': '10000' },
  });
  await response.body.dump();
  return response.statusCode;
}

async function eventually(check: () => Promise<boolean>): Promise<void> {
  for (let tries = 0; tries < 1_000; tries += 1) {
    if (await check()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  throw new Error('the expected state was not reached');
}

/** Sends requests, and returns the numbers of those that each part ran and that were refused. */
async function share() {
  const before = { new: newServer.runs.length, old: oldServer.runs.length };
  let refused = 0;
  for (let count = 0; count < REQUESTS; count += 1) refused += (await send()) === 503 ? 1 : 0;
  return {
    new: newServer.runs.length - before.new,
    old: oldServer.runs.length - before.old,
    refused,
  };
}

beforeEach(async () => {
  store = new platformStore.PlatformStore();
  [newServer, oldServer] = ['new', 'old'].map((id) => new platformServer.PlatformServer(id)) as [
    platformServer.PlatformServer,
    platformServer.PlatformServer,
  ];
  newAddress = await newServer.listen();
  store.put('servers/new', platformRecords.makeServerEntry('new', newAddress));
  store.put('servers/old', platformRecords.makeServerEntry('old', await oldServer.listen()));
  store.put('op/config', platformRecords.makeConfiguration(1, [RULE]));
  const directoryUrl = await store.listen();
  const [callerPort, readinessPort, peerPort] = (await freePorts.freePorts(3)) as [
    number,
    number,
    number,
  ];
  url = `http://127.0.0.1:${callerPort}`;
  ({ daemon } = platformDaemon.makePlatformDaemon({
    ...{ callerPort, readinessPort, peerPort, directoryUrl, checksPerSecond: 6_000 },
  }));
  await daemon.start();
  await eventually(async () => (await send()) === 200 && newServer.runs.length > 0);
});

afterEach(async () => {
  await daemon.stop();
  await Promise.all([store.close(), newServer.close(), oldServer.close()]);
});

test('each part of a split gets the share of its weight', async () => {
  const { new: newRuns, old: oldRuns, refused } = await share();
  expect([newRuns, oldRuns, refused]).toEqual([75, 225, 0]);
});

// Guards against a request that draws its part more than once while it waits behind another one.
test('pipelined requests are shared by weight', async () => {
  const split = [
    { service: 'new', weight: 1 },
    { service: 'old', weight: 2 },
  ];
  const rules = [
    { ...RULE, split },
    { prefix: '/y/', service: 'old' },
  ];
  store.put('op/config', platformRecords.makeConfiguration(2, rules));
  await eventually(async () => (await send('/y/1')) === 200);
  const before = [newServer.runs.length, oldServer.runs.length];
  const socket = net.connect(Number(new URL(url).port), '127.0.0.1');
  let received = '';
  socket.setEncoding('latin1').on('data', (text: string) => {
    received += text;
  });
  const countAnswers = () => received.split('HTTP/1.1 200').length - 1;
  const request = `GET /x/1 HTTP/1.1\r\nhost: ${platformRecords.HOST}\r\nrequest-id: a\r\n\r\n`;
  for (let pair = 1; pair <= 60; pair += 1) {
    socket.write(request + request);
    await eventually(async () => countAnswers() === 2 * pair);
  }
  socket.destroy();
  const runs = [newServer.runs.length, oldServer.runs.length];
  expect(runs.map((count, index) => count - before[index]!)).toEqual([40, 80]);
});

// Guards against requests that a part has no room for, and that are moved to the other part.
test('what a full part refuses is not run by the other one', async () => {
  newServer.answer = 'shed';
  const { new: newRuns, old: oldRuns, refused } = await share();
  expect([newRuns, oldRuns, refused]).toEqual([0, 225, 75]);
});

test.each(['drains', 'is gone'] as const)(
  'the share of a part whose only server %s is refused as not run, and comes back',
  async (change) => {
    if (change === 'drains') {
      const entry = platformRecords.makeServerEntry('new', newAddress, { state: 'draining' });
      store.put('servers/new', entry);
    } else store.remove('servers/new');
    await eventually(async () => (await send()) === 503);
    const { old: oldRuns, refused } = await share();
    expect([oldRuns, refused]).toEqual([225, 75]);
    const entry = platformRecords.makeServerEntry('new', newAddress, { born: 1_700_000_001_000 });
    store.put('servers/new', entry);
    const before = newServer.runs.length;
    await eventually(async () => (await send()) === 200 && newServer.runs.length > before);
    expect(await share()).toEqual({ new: 75, old: 225, refused: 0 });
  },
);
