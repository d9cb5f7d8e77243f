import * as byteBudget from '../common/memory/ByteBudget';
import * as bodyBuffer from './BodyBuffer';

const MAX_BYTES = 8 * 1024 * 1024;

const PIECE_SIZES = [0, 1, 3, 4_095, 4_096, 32_768, 32_769, 65_536, 100_000];

function makeBody(totalBytes = Number.POSITIVE_INFINITY): bodyBuffer.BodyBuffer {
  const budget = new byteBudget.ByteBudget({ ...byteBudget.UNLIMITED, totalBytes });
  return new bodyBuffer.BodyBuffer(MAX_BYTES, () => budget.reserveRequest());
}

function makePieces(sizes: readonly number[]): Buffer[] {
  return sizes.map((size, index) => Buffer.alloc(size, index + 1));
}

// Guards against bytes that are lost or change places between copied and kept pieces.
test.each([1, 2, 3, 5, 7])('returns all bytes in order: every %ith size', (step) => {
  const sizes = Array.from({ length: 60 }, (_, index) => PIECE_SIZES[(index * step) % 9] as number);
  const pieces = makePieces(sizes);
  const body = makeBody();
  pieces.forEach((piece) => body.add(piece));
  expect(body.size).toBe(sizes.reduce((sum, size) => sum + size, 0));
  expect(body.toBytes().equals(Buffer.concat(pieces))).toBe(true);
});

// Guards against a process that runs out of memory by an object for each chunk of one byte.
test('pieces of one byte are held in few buffers', () => {
  const body = makeBody();
  for (let count = 0; count < 1_000_000; count += 1) body.add(Buffer.from('x'));
  expect(body.partCount).toBeLessThan(30);
  expect(body.toBytes().toString()).toBe('x'.repeat(1_000_000));
});

test('a piece that is added after it was read changes nothing that was returned', () => {
  const body = makeBody();
  ['a', 'b', 'c'].forEach((text) => body.add(Buffer.from(text)));
  const first = body.toBytes();
  body.add(Buffer.from('d'));
  expect(first.toString()).toBe('abc');
  expect(body.toBytes().toString()).toBe('abcd');
});

test('holds nothing after it was cleared', () => {
  const body = makeBody();
  makePieces([1, 2, 40_000]).forEach((piece) => body.add(piece));
  body.clear();
  expect(body).toMatchObject({ size: 0, partCount: 0 });
  expect(body.toBytes()).toHaveLength(0);
});

// Guards against a large body that takes its memory twice when its pieces are joined.
test.each([1_000_000, 64 * 1024, 1_000])(
  'a large body in pieces of %i bytes is held once',
  (pieceSize) => {
    const count = Math.floor(MAX_BYTES / pieceSize);
    const pieces = makePieces(Array.from({ length: count }, () => pieceSize));
    const body = makeBody();
    pieces.forEach((piece) => body.add(piece));
    expect(body.partCount).toBe(1);
    expect(body.toBytes().equals(Buffer.concat(pieces))).toBe(true);
  },
);

// Guards against a limit of the configuration that ends the process with the first large body.
test('the maximum size of a body may exceed that of a buffer', () => {
  const budget = new byteBudget.ByteBudget(byteBudget.UNLIMITED);
  const body = new bodyBuffer.BodyBuffer(1e12, () => budget.reserveRequest());
  const pieces = makePieces(Array.from({ length: 70 }, () => 1_000_000));
  pieces.forEach((piece) => body.add(piece));
  expect(body.toBytes().equals(Buffer.concat(pieces))).toBe(true);
});

test('a body that arrives in one large piece is not copied', () => {
  const piece = Buffer.alloc(100_000);
  const body = makeBody();
  body.add(piece);
  expect(body.toBytes()).toBe(piece);
});

// Guards against bodies beyond the budget of the daemon, and against a budget that is never freed.
test('a body takes no more than its budget, and none once it was cleared', () => {
  const body = makeBody(128 * 1024);
  const pieces = makePieces(Array.from({ length: 20 }, () => 10_000));
  const added = pieces.filter((piece) => body.add(piece));
  expect(added.length * 10_000).toBe(body.size);
  expect(body.size).toBeGreaterThan(128 * 1024);
  expect(body.size).toBeLessThanOrEqual(192 * 1024);
  body.clear();
  expect(makePieces([190_000]).every((piece) => body.add(piece))).toBe(true);
});
