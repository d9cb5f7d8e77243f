import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import * as listening from './listen';

const HOST = '127.0.0.1';

let server: net.Server;
let errors: Error[];

beforeEach(async () => {
  server = net.createServer((socket) => socket.end());
  errors = [];
  await listening.listen(server, HOST, 0, (error) => errors.push(error));
});

afterEach(() => nodeEvents.once(server.close(), 'close'));

// Guards against a process that ends because the operating system reports an error for one connection.
test('a connection that cannot be accepted is reported, and the next one is accepted', async () => {
  const error = new Error('accept EHOSTUNREACH');
  server.emit('error', error);
  expect(errors).toEqual([error]);
  const { port } = server.address() as net.AddressInfo;
  await nodeEvents.once(net.connect({ host: HOST, port }).resume(), 'end');
});

test('an address in use is no error of the server that listens', async () => {
  const { port } = server.address() as net.AddressInfo;
  const other = net.createServer();
  const listen = listening.listen(other, HOST, port, () => undefined);
  await expect(listen).rejects.toThrow('EADDRINUSE');
  expect(errors).toEqual([]);
});
