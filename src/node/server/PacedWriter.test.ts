import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as net from 'node:net';

import * as linkPace from '../../common/transfer/LinkPace';
import * as systemClock from '../SystemClock';
import * as pacedWriter from './PacedWriter';

const BODY = crypto.randomBytes(400_000);

let server: http.Server;
let closed: Promise<void>;

beforeEach(async () => {
  const clock = new systemClock.SystemClock();
  const writer = new pacedWriter.PacedWriter(new linkPace.LinkPace(() => 40, clock), clock);
  let end: () => void;
  closed = new Promise((resolve) => {
    end = resolve;
  });
  server = http.createServer((request, response) => {
    response.once('close', () => end());
    const body = request.url === '/small' ? BODY.subarray(0, 100) : BODY;
    response.writeHead(200, { 'content-length': body.length });
    writer.end(response, body);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

function get(path: string, onResponse: (response: http.IncomingMessage) => void): void {
  const { port } = server.address() as net.AddressInfo;
  http.get({ host: '127.0.0.1', port, path }, onResponse).on('error', () => undefined);
}

async function bodyOf(path: string): Promise<Buffer> {
  const response = await new Promise<http.IncomingMessage>((resolve) => {
    get(path, resolve);
  });
  const parts: Buffer[] = [];
  for await (const part of response) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

// Guards against pieces that are lost, doubled or out of order.
test.each([
  ['/large', BODY],
  ['/small', BODY.subarray(0, 100)],
])('the body of %s arrives whole', async (path, expected) => {
  expect((await bodyOf(path)).equals(expected)).toBe(true);
});

// Guards against large answers of several callers that mix.
test('bodies that are written at the same time arrive whole', async () => {
  const bodies = await Promise.all(['/a', '/b', '/c'].map(bodyOf));
  expect(bodies.every((body) => body.equals(BODY))).toBe(true);
});

// Guards against writing on for a caller that has left, and against an error that ends the process.
test('a caller that leaves in the middle ends the writing', async () => {
  get('/large', (response) => response.once('data', () => response.destroy()));
  await closed;
  expect((await bodyOf('/small')).length).toBe(100);
});

// Guards against a slow reader whose answer is handed to the socket as a whole.
test('the writing waits for a caller that does not read', async () => {
  const response = await new Promise<http.IncomingMessage>((resolve) => {
    get('/large', resolve);
  });
  response.pause();
  expect((await bodyOf('/other')).equals(BODY)).toBe(true);
  const parts: Buffer[] = [];
  for await (const part of response) parts.push(part as Buffer);
  expect(Buffer.concat(parts).equals(BODY)).toBe(true);
});
