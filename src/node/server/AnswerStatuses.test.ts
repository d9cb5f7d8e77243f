import * as callerServerRig from './testing/CallerServerRig';

let rig: callerServerRig.CallerServerRig;

beforeEach(async () => {
  rig = new callerServerRig.CallerServerRig();
  await rig.listen();
});

afterEach(() => rig.close());

// Guards against an error of Node.js, which ends the process, and against callers that get an answer
// with such a status: from a transport of another protocol, or stored under a request key.
test.each([0, 99, 100, 101, 600, 999, 1_000, -1, 200.5, Number.NaN])(
  'an answer with status %d ends as unknown',
  async (status) => {
    const request = 'GET /status/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n';
    const done = rig.exchange(request);
    await rig.reply(1, status, ['content-type', 'text/plain'], 'ok');
    expect(await done).toMatch(/^HTTP\/1.1 502 Bad Gateway\r\n/);
    expect(rig.refused).toMatchObject([
      { kind: 'answer-truncated', outcome: 'unknown', dispatched: true },
    ]);
  },
);
