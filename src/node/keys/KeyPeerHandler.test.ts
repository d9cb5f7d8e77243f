import * as net from 'node:net';

import * as keyTestRig from './testing/KeyTestRig';
import * as keyPeerHandler from './KeyPeerHandler';
import * as peer from '../peer/generated/peer';
import * as peerClient from '../peer/PeerClient';
import * as peerServer from '../peer/PeerServer';

async function freeAddress(): Promise<string> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return `127.0.0.1:${port}`;
}

const fleet: peerServer.IPeerHandler = {
  exchange: (request) => ({ ...request }),
  fetchTable: async () => ({ version: 0, compressedText: Buffer.alloc(0) }),
};

test('messages about keys reach the authority over gRPC', async () => {
  const { authority } = new keyTestRig.KeyTestRig().start(1);
  const issued = authority.issue(1);
  const key = issued.ok ? (issued.value[0] as string) : '';
  const server = new peerServer.PeerServer(fleet, new keyPeerHandler.KeyPeerHandler(authority));
  const client = new peerClient.PeerClient();
  const address = await freeAddress();
  await server.listen(address);
  const claim = await client.claimKey(address, { key, attempt: 'a', fingerprint: 'f' });
  const outcome = peer.KeyOutcome.KEY_OUTCOME_NOT_RUN;
  const complete = await client.completeKey(address, {
    key,
    attempt: 'a',
    outcome,
    answer: undefined,
  });
  const request = peer.HandOverKeysRequest.create({ issuer: 'x' });
  const handOver = await client.handOverKeys(address, request);
  client.dispose();
  server.dispose();
  const granted = peer.ClaimVerdict.CLAIM_VERDICT_GRANTED;
  expect(claim).toMatchObject({ ok: true, value: { verdict: granted } });
  expect(complete).toEqual({ ok: true, value: { recorded: true } });
  expect(handOver).toEqual({ ok: true, value: { accepted: false } });
});

test('a daemon without an authority refuses messages about keys', async () => {
  const server = new peerServer.PeerServer(fleet);
  const client = new peerClient.PeerClient();
  const address = await freeAddress();
  await server.listen(address);
  const claim = await client.claimKey(address, { key: 'k', attempt: 'a', fingerprint: 'f' });
  client.dispose();
  server.dispose();
  expect(claim.ok).toBe(false);
});
