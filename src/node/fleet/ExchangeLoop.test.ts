import * as bunyan from 'bunyan';

import * as gossipAgent from '../../common/membership/GossipAgent';
import * as manualClock from '../../common/ManualClock';
import * as seededRandom from '../../common/SeededRandom';
import * as peer from '../peer/generated/peer';
import * as exchangeLoop from './ExchangeLoop';
import * as exchangeMessages from './ExchangeMessages';

const PEER = '10.0.0.2:1';

let clock: manualClock.ManualClock;
let loop: exchangeLoop.ExchangeLoop;
let isBroken: boolean;
let logged: string[];

function requestOf(urgent: boolean): peer.ExchangeRequest {
  const sender = { address: PEER, incarnation: 1, heartbeat: 1 };
  return peer.ExchangeRequest.fromPartial({ sender, urgent });
}

beforeEach(() => {
  clock = new manualClock.ManualClock();
  isBroken = false;
  logged = [];
  const agent = new gossipAgent.GossipAgent(
    {
      ...{ address: '10.0.0.1:1', failureDomain: 'a', incarnation: 1 },
      sizeOf: (message) => {
        if (isBroken) throw new Error('a number is out of range');
        return exchangeMessages.encodedSize(message);
      },
      tableState: () => ({ version: 1, hash: '' }),
    },
    clock,
    new seededRandom.SeededRandom(1),
  );
  const stream = { write: (line: string) => logged.push(line) };
  loop = new exchangeLoop.ExchangeLoop(
    agent,
    { syncFrom: () => Promise.resolve() },
    { exchange: () => new Promise(() => undefined) },
    bunyan.createLogger({ name: 'test', streams: [{ stream: stream as never }] }),
    clock,
  );
  loop.receive(requestOf(true));
  loop.start();
});

afterEach(() => loop.dispose());

// Guards against a process that ends because one of its messages cannot be encoded.
test('an exchange that cannot be composed is logged, and the next one begins', () => {
  isBroken = true;
  clock.advance(gossipAgent.EXCHANGE_INTERVAL_MS);
  expect(logged).toHaveLength(1);
  isBroken = false;
  clock.advance(gossipAgent.EXCHANGE_INTERVAL_MS);
  expect(loop.counts.begun).toBe(1);
});

// Guards against a process that ends because of the message of a peer.
test('a message whose reply cannot be composed gets one without records', () => {
  isBroken = true;
  expect(loop.receive(requestOf(false))).toMatchObject({ members: [], facts: [] });
  expect(logged).toHaveLength(1);
});

// Guards against a request after a pause, or a stop, that ends with the error of an exchange.
test.each(['exchangeNow', 'pushUrgent'] as const)(
  'a message that cannot be composed is logged, not thrown at the caller of %s',
  (method) => {
    isBroken = true;
    loop[method]();
    expect(logged).toHaveLength(1);
  },
);
