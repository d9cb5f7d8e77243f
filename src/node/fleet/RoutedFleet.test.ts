import * as bunyan from 'bunyan';

import * as confirmationModule from '../../common/directory/Confirmation';
import * as directoryModule from '../../common/directory/Directory';
import type * as directoryTypes from '../../common/directory/Types';
import * as seededRandom from '../../common/SeededRandom';
import * as freePorts from '../../standin/FreePorts';
import type * as forwardTypes from '../forwarding/Types';
import * as peer from '../peer/generated/peer';
import * as peerClient from '../peer/PeerClient';
import * as peerListener from '../peer/PeerListener';
import * as addressFormat from '../settings/Addresses';
import * as systemClock from '../SystemClock';
import * as routedFleet from './RoutedFleet';

jest.setTimeout(60_000);

interface IMember {
  readonly address: string;
  readonly directory: directoryModule.Directory;
  readonly confirmation: confirmationModule.Confirmation;
  readonly fleet: routedFleet.RoutedFleet;
  readonly listener: peerListener.PeerListener;
}

const MEMBERS = 5;

const LARGE_BODY_BYTES = 4 * 1024 * 1024;

let members: IMember[];

function make(
  address: string,
  seedPeers: readonly string[],
  seed: number,
  calls?: forwardTypes.IForwardHandler,
): IMember {
  const clock = new systemClock.SystemClock();
  const directory = new directoryModule.Directory(clock);
  const confirmation = new confirmationModule.Confirmation(clock, () => 2_000);
  const fleet = new routedFleet.RoutedFleet(
    { peerAddress: address, failureDomain: 'a', seedPeers },
    directory,
    confirmation,
    bunyan.createLogger({ name: 'test', streams: [] }),
    clock,
    new seededRandom.SeededRandom(seed),
    calls,
  );
  const listener = new peerListener.PeerListener();
  listener.handOver((socket) => fleet.receive(socket));
  return { address, directory, confirmation, fleet, listener };
}

async function eventually(check: () => boolean): Promise<void> {
  for (let tries = 0; tries < 1_500; tries += 1) {
    if (check()) return;

    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  throw new Error('the expected state was not reached');
}

beforeEach(async () => {
  const addresses = (await freePorts.freePorts(MEMBERS)).map((port) => `127.0.0.1:${port}`);
  const seeds = addresses.slice(0, 1);
  members = addresses.map((address, index) => make(address, seeds, index + 1));
  const opened = members.map(({ address, listener }) => {
    const { host, port } = addressFormat.split(address);
    return listener.listen(host, port, () => undefined);
  });
  await Promise.all(opened);
  members.forEach(({ fleet }) => fleet.start());
});

afterEach(() => {
  members.forEach(({ fleet, directory, listener }) => {
    listener.dispose();
    fleet.dispose();
    directory.dispose();
  });
});

function publish(member: IMember, revision: number): void {
  const server = { id: `${revision}`, address: `${revision}`, state: 'ready' };
  member.directory.apply(
    [{ kind: 'server', revision, server: server as directoryTypes.IRegistration }],
    revision,
  );
  member.confirmation.confirm();
}

// Guards against a call that was run for a peer, and whose answer a stop cuts off.
test('replies to forwarded calls are sent before the fleet is left', async () => {
  const [port] = (await freePorts.freePorts(1)) as [number];
  const address = `127.0.0.1:${port}`;
  const answer = { status: 200, headers: [], body: Buffer.alloc(LARGE_BODY_BYTES) };
  let onReplied: () => void = () => undefined;
  const replied = new Promise<void>((resolve) => {
    onReplied = resolve;
  });
  const { fleet, listener, directory } = make(address, [], 1, {
    forward: (_request, onReply) => {
      onReply(peer.ForwardReply.fromPartial({ answered: { answer, server: 'a' } }));
      onReplied();
      return { cancel: () => undefined };
    },
  });
  members.push({ ...(members[0] as IMember), fleet, listener, directory });
  await listener.listen('127.0.0.1', port, () => undefined);
  const client = new peerClient.PeerClient();
  const request = peer.ForwardRequest.fromPartial({ requestId: '1', remainingMs: 60_000 });
  const kind = new Promise((resolve) => {
    client.forward(address, request, (result) => resolve(result.kind));
  });
  await replied;
  listener.dispose();
  fleet.finishReplies();
  await eventually(() => !fleet.hasUnsentReplies);
  fleet.dispose();
  expect(await kind).toBe('reply');
  client.dispose();
});

test('members discover each other through one seed peer', async () => {
  await eventually(() => members.every(({ fleet }) => fleet.members.count === MEMBERS));
});

// Guards against a daemon that is cut off from the directory service and keeps an old directory.
test('changes read by one member reach all others, and its confirmation stops their reads', async () => {
  await eventually(() => members.every(({ fleet }) => fleet.members.count === MEMBERS));
  const findReader = () =>
    members.find(({ confirmation, fleet }) => {
      confirmation.confirm();
      return fleet.readRole === 'reader';
    });
  await eventually(() => findReader() !== undefined);
  const reader = findReader() as IMember;
  members.forEach(({ confirmation }) => confirmation.reset());
  publish(reader, 7);
  await eventually(() => members.every(({ directory }) => directory.revision === 7));
  const others = members.filter((member) => member !== reader);
  await eventually(() => {
    reader.confirmation.confirm();
    return others.filter(({ fleet }) => fleet.readRole === 'follower').length >= MEMBERS - 2;
  });
});
