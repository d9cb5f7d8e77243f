import * as callerServerRig from './testing/CallerServerRig';

const BYTES = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code));

/** Lengths of the text on each side of the byte: the parser's vector path starts at 16 bytes. */
const PADDINGS = [0, 1, 15, 16, 40];

/** Separators after which the text on their left is a whole method or name. */
const SEPARATORS = { target: /[ \r\n]/, name: /[:\r\n]/ };

const TARGET_BYTES = /[A-Za-z0-9\-._~:/?#[\]@!$&'()*+,;=%]/;
const NAME_BYTES = /[A-Za-z0-9!#$%&'*+\-.^_`|~]/;
const VALUE_BYTES = /[\t\x20-\x7e\x80-\xff]/;

// A test sends up to 1,280 requests, and no check depends on how long they take.
jest.setTimeout(60_000);

let rig: callerServerRig.CallerServerRig;

beforeEach(async () => {
  rig = new callerServerRig.CallerServerRig();
  await rig.listen();
});

afterEach(() => rig.close());

/** Returns the status of the response to a request that may be forwarded. */
async function statusOf(raw: string): Promise<number> {
  const before = rig.transport.attempts.length;
  const response = rig.exchange(raw);
  let isOpen = true;
  const ended = response.finally(() => {
    isOpen = false;
  });
  while (isOpen) {
    await new Promise(setImmediate);
    rig.transport.attempts.slice(before).forEach(({ listener }) => {
      const answer = { status: 200, headers: [], body: new Uint8Array() };
      listener.onEnd({ kind: 'answered', answer });
    });
  }
  return Number((await ended).slice(9, 12));
}

function request(target: string, header: string): string {
  return `GET ${target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n${header}\r\n\r\n`;
}

/** Returns the bytes with which a request is accepted. */
async function acceptedBytes(
  bytes: readonly string[],
  format: (text: string) => string,
): Promise<string[]> {
  const accepted: string[] = [];
  await Promise.all(
    PADDINGS.map(async (padding) => {
      for (const byte of bytes) {
        const text = `a${'b'.repeat(padding)}${byte}${'c'.repeat(padding)}d`;
        if ((await statusOf(format(text))) === 200) accepted.push(byte);
      }
    }),
  );
  return accepted;
}

function expected(pattern: RegExp, excluded = /[]/): string[] {
  const allowed = BYTES.filter((byte) => pattern.test(byte) && !excluded.test(byte));
  return PADDINGS.flatMap(() => allowed).sort();
}

// Guards against a request whose fate depends on the processor of the daemon.
test('only the bytes of a URI are accepted in a target', async () => {
  const bytes = BYTES.filter((byte) => !SEPARATORS.target.test(byte));
  const accepted = await acceptedBytes(bytes, (text) => request(`/status/${text}`, 'x: y'));
  expect(accepted.sort()).toEqual(expected(TARGET_BYTES));
});

test('only the bytes of a token are accepted in a header name', async () => {
  const bytes = BYTES.filter((byte) => !SEPARATORS.name.test(byte));
  const accepted = await acceptedBytes(bytes, (text) => request('/status/a', `${text}: y`));
  expect(accepted.sort()).toEqual(expected(NAME_BYTES));
});

// Guards against a header that a server reads as two.
test('control bytes are not accepted in a header value', async () => {
  const accepted = await acceptedBytes(BYTES, (text) => request('/status/a', `x: ${text}`));
  expect(accepted.sort()).toEqual(expected(VALUE_BYTES));
});

test('no byte is accepted within a method', async () => {
  const accepted = await acceptedBytes(BYTES, (text) =>
    request('/status/a', 'x: y').replace('GET', `G${text}`),
  );
  expect(accepted).toEqual([]);
});

// Guards against a request that is hidden in another one behind a name that only looks known.
test('a request behind a malformed one on its connection is not run', async () => {
  const hidden = 'GET /status/b HTTP/1.1\r\nhost: x\r\n\r\n';
  const raw = `POST /status/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding : chunked\r\n\r\n${hidden}`;
  const received = await rig.exchange(raw);
  expect(received).toMatch(/^HTTP\/1.1 400 /);
  expect(received.split('HTTP/1.1')).toHaveLength(2);
  expect(rig.transport.attempts).toHaveLength(0);
});
