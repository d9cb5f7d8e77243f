import * as fc from 'fast-check';

import * as requestKeyCodec from './RequestKeyCodec';

const codec = requestKeyCodec.RequestKeyCodec;
const SECRET = Buffer.alloc(32, 7);
const CONTENT = {
  issuer: '10.0.0.1:7000',
  incarnation: 2 ** 47 + 5,
  sequence: 12,
  issuedAtMs: 345,
};

test('encoding and decoding preserve every field', () => {
  const content = fc.record({
    issuer: fc.constantFrom('10.0.0.1:7000', '[fd00::1]:65535', '255.255.255.255:1'),
    incarnation: fc.maxSafeNat(),
    sequence: fc.maxSafeNat(),
    issuedAtMs: fc.maxSafeNat(),
  });
  fc.assert(
    fc.property(content, (value) => {
      const key = codec.sign(value, SECRET);
      const text = codec.encode(key);
      expect(text).toMatch(/^[A-Za-z0-9._~-]+$/);
      expect(codec.decode(text)).toEqual({ ok: true, value: key });
      expect(codec.verify(key, SECRET)).toBe(true);
    }),
    { seed: 1 },
  );
});

// A second valid text for a key, or a modified key, would get a claim record of its own.
test('any change to its text makes a key invalid', () => {
  const text = codec.encode(codec.sign(CONTENT, SECRET));
  const edit = fc.record({
    index: fc.nat(text.length),
    removed: fc.nat(1),
    inserted: fc.string({ maxLength: 2 }),
  });
  fc.assert(
    fc.property(edit, ({ index, removed, inserted }) => {
      const changed = text.slice(0, index) + inserted + text.slice(index + removed);
      fc.pre(changed !== text);
      const decoded = codec.decode(changed);
      expect(decoded.ok && codec.verify(decoded.value, SECRET)).toBe(false);
    }),
    { seed: 2, numRuns: 2_000 },
  );
});

test('a key signed with another secret fails verification', () => {
  const key = codec.sign(CONTENT, Buffer.alloc(32, 8));
  expect(codec.verify(key, SECRET)).toBe(false);
});

test('a code of the wrong length fails verification', () => {
  expect(codec.verify({ ...CONTENT, code: '' }, SECRET)).toBe(false);
});

test.each([
  ['', 'malformed-key'],
  ['1', 'malformed-key'],
  ['2.a.b', 'unknown-version'],
  ['2', 'malformed-key'],
  ['1.'.repeat(200), 'malformed-key'],
])('rejects %p as %s', (text, kind) => {
  expect(codec.decode(text)).toEqual({ ok: false, error: { kind } });
});

// Anything but a host and a port would make a daemon resolve or contact an unintended target.
test.each(['10.0.0.1', 'a b:1', '10.0.0.1:0', 'http://10.0.0.1:1', '10.0.0.1:7000/x'])(
  'rejects the issuer address %p',
  (issuer) => {
    const text = codec.encode(codec.sign({ ...CONTENT, issuer }, SECRET));
    expect(codec.decode(text).ok).toBe(false);
  },
);

test('an issuer name is decoded only from its canonical text', () => {
  const issuer = { address: '10.0.0.1:7000', incarnation: 99 };
  const name = codec.encodeIssuer(issuer);
  expect(codec.decodeIssuer(name)).toEqual(issuer);
  expect(codec.decodeIssuer(`${name}#1`)).toBeUndefined();
  expect(codec.decodeIssuer('10.0.0.1:7000')).toBeUndefined();
  expect(codec.decodeIssuer('10.0.0.1:7000#-1')).toBeUndefined();
});
