import * as fastCheck from 'fast-check';

import * as addresses from './Addresses';
import * as settings from './Settings';

const VALID = [
  'callerAddress: 10.0.0.1:80',
  'operatorAddress: "[::1]:81"',
  'peerAddress: 10.0.0.1:82',
  'failureDomain: a',
  'platformUrl: http://10.0.0.2:8000',
].join('\n');

test('fills in defaults', () => {
  expect(settings.parseSettings(VALID)).toMatchObject({
    ok: true,
    value: { logLevel: 'info', platformBalancerLagMs: 5_000, tracesSampleFraction: 0.01 },
  });
});

// Guards against reporting one problem per start, so that each fix needs another start.
test('reports every problem with its path and the expected and found values', () => {
  const text = [
    'callerAddress: 10.0.0.256:80',
    'operatorAddress: 10.0.0.1',
    'peerAddress: 7',
    'platformUrl: https://x',
    'policy: fastest',
    'tracesSampleFraction: 2',
    'platformBalancerLagMs: 1.5',
    'loglevel: info',
  ].join('\n');
  const parsed = settings.parseSettings(text);
  const problems = parsed.ok ? [] : parsed.error;
  expect(problems.map(({ path, message }) => `${path}: ${message}`).sort()).toEqual([
    'callerAddress: expected an IP address and a port, found "10.0.0.256:80"',
    'failureDomain: expected string, found nothing',
    expect.stringMatching(/^loglevel: unknown setting; expected one of callerAddress, /),
    'operatorAddress: expected an IP address and a port, found "10.0.0.1"',
    'peerAddress: expected string, found 7',
    'platformBalancerLagMs: expected int, found 1.5',
    'platformUrl: expected an http URL, found "https://x"',
    expect.stringMatching(/^policy: expected .*"least-in-flight".*, found "fastest"$/),
    'tracesSampleFraction: Too big: expected number to be <=1, found 2',
  ]);
});

test.each(['- a', 'a', '{', 'callerAddress: a\ncallerAddress: b', ''])(
  'rejects text without valid settings: %j',
  (text) => {
    expect(settings.parseSettings(text).ok).toBe(false);
  },
);

test.each([
  ['10.0.0.1:80', true],
  ['[fe80::1]:80', true],
  ['10.0.0.1:0', false],
  ['10.0.0.1:65536', false],
  ['fe80::1:80', false],
  ['[10.0.0.1]:80', false],
  ['localhost:80', false],
  ['[fe80::1%eth0]:80', false],
])('checks an address: %s', (text, expected) => {
  expect(addresses.isAddress(text)).toBe(expected);
});

// Guards against the registration of a server that ends the process when it is connected to.
test('each address that is accepted can be part of a URL', () => {
  const suffix = fastCheck.constantFrom('', '', '%1', '%eth0', '%', '/64');
  const host = fastCheck.oneof(fastCheck.ipV4(), fastCheck.ipV4Extended(), fastCheck.ipV6());
  const address = fastCheck
    .tuple(host, suffix, fastCheck.nat({ max: 70_000 }))
    .map(([text, end, port]) =>
      text.includes(':') ? `[${text}${end}]:${port}` : `${text}${end}:${port}`,
    );
  fastCheck.assert(
    fastCheck.property(
      address,
      (text) => !addresses.isAddress(text) || URL.canParse(`http://${text}`),
    ),
    { seed: 1 },
  );
});

test('splits an address into host and port', () => {
  expect(addresses.split('[::1]:81')).toEqual({ host: '::1', port: 81 });
});
