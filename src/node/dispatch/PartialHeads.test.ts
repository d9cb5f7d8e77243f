import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import type * as callTypes from '../../common/call/Types';
import * as manualClock from '../../common/ManualClock';
import * as seededRandom from '../../common/SeededRandom';
import * as defaultBackendProtocol from './DefaultBackendProtocol';
import * as httpTransport from './HttpTransport';

/** Accepts answers without a length, so that only the parser tells whether a head was complete. */
class CloseDelimitedProtocol extends defaultBackendProtocol.DefaultBackendProtocol {
  public override readonly allowsCloseDelimitedBody = true;
}

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

const HEADS = [
  'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\nx: y\r\n\r\n',
  'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n',
  'HTTP/1.1 200 OK\r\nx: y\r\nrequest-id: 1\r\n\r\n',
  'HTTP/1.0 200 OK\r\nx: y\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nx: y\r\n\r\n',
];

let transport: httpTransport.HttpTransport;
let server: net.Server;
let partial: string;

/** Answers whole first if the connection is to be reused, then breaks off within the head. */
beforeEach(async () => {
  server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      if (data.toString('latin1').includes('/whole')) socket.write(WHOLE);
      else socket.end(partial, 'latin1');
    });
  });
  await nodeEvents.once(server.listen(0, '127.0.0.1'), 'listening');
  const clock = new manualClock.ManualClock();
  transport = new httpTransport.HttpTransport(
    clock,
    new seededRandom.SeededRandom(1),
    new CloseDelimitedProtocol(clock),
  );
});

afterEach(async () => {
  transport.dispose();
  await nodeEvents.once(server.close(), 'close');
});

function send(path: string): Promise<callTypes.AttemptOutcome> {
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const row = { address, failureDomain: 'a', weight: 1, slots: 3, maxConnections: 39 };
  const call = {
    ...{ requestId: '1', method: 'GET', path, headers: [], body: Buffer.alloc(0) },
    ...{ deadlineMs: 1_000, depth: 0, retriesSpent: 0, fingerprint: '' },
    service: { maxAnswerBytes: 1_000, idempotent: true },
    table: { maxDaemons: 10 },
  } as unknown as callTypes.ICall;
  return new Promise((resolve) => {
    transport.send(
      call,
      { ...row, service: 'reads' },
      {
        mayStart: () => true,
        mayAbandon: () => true,
        onSent: () => undefined,
        onLoadReport: () => undefined,
        onEnd: resolve,
      },
    );
  });
}

// Guards against a head that a server broke off and that passes as a whole answer without a body.
test.each(HEADS)('an answer that ends within its head is lost: %j', async (head) => {
  for (let length = 0; length < head.length; length += 1) {
    partial = head.slice(0, length);
    for (const isReused of [false, true]) {
      if (isReused) expect(await send('/whole')).toMatchObject({ kind: 'answered' });
      const outcome = await send('/partial');
      expect({ length, isReused, kind: outcome.kind }).toEqual({ length, isReused, kind: 'lost' });
    }
  }
});
