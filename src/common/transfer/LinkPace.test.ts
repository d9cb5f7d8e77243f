import * as heapClock from '../HeapClock';
import * as seededRandom from '../SeededRandom';
import * as linkPace from './LinkPace';

const LINK_MEGABITS = 10;
const BYTES_PER_MS = (LINK_MEGABITS * 1_000_000) / 8 / 1_000;
/** Bytes of one connection that may be on their way at once. */
const WINDOW_BYTES = 64 * 1024;
const ANSWER_BYTES = 540_000;
const SMALL_BYTES = 500;

/** A link with one queue, as that of a small VM. */
class Link {
  private freeAtMs = 0;

  public constructor(private readonly clock: heapClock.HeapClock) {}

  /** Sends bytes, and returns the time until the last of them has left, in milliseconds. */
  public send(bytes: number): number {
    const nowMs = this.clock.monotonicMs();
    this.freeAtMs = Math.max(this.freeAtMs, nowMs) + bytes / BYTES_PER_MS;
    return this.freeAtMs - nowMs;
  }
}

/** Sends large answers beside small ones for a minute, and returns how long the small ones take. */
function play(megabits: number | undefined, largePerSecond: number) {
  const clock = new heapClock.HeapClock();
  const random = new seededRandom.SeededRandom(3);
  const link = new Link(clock);
  const pace = new linkPace.LinkPace(() => megabits, clock);
  const largeMs: number[] = [];
  const smallMs: number[] = [];
  const sendFrom = (position: number, startMs: number) => {
    const bytes = Math.min(linkPace.PIECE_BYTES, ANSWER_BYTES - position);
    const leftMs = link.send(bytes);
    if (position + bytes >= ANSWER_BYTES) {
      largeMs.push(clock.monotonicMs() + leftMs - startMs);
      return;
    }
    // The window lets no more than its size wait in the link.
    const windowMs = Math.max(0, leftMs - WINDOW_BYTES / BYTES_PER_MS);
    const delayMs = Math.max(windowMs, pace.pass(bytes));
    clock.setTimer(delayMs, () => sendFrom(position + bytes, startMs));
  };
  const repeat = (perSecond: number, action: () => void) => {
    clock.setTimer((-1_000 / perSecond) * Math.log(1 - random.next()), () => {
      action();
      repeat(perSecond, action);
    });
  };
  repeat(largePerSecond, () => sendFrom(0, clock.monotonicMs()));
  repeat(20, () => smallMs.push(link.send(SMALL_BYTES)));
  clock.runUntil(60_000);
  const sorted = [...smallMs].sort((left, right) => left - right);
  return { largeMs, worstSmallMs: sorted[Math.floor(0.99 * sorted.length)] as number };
}

// Guards against small answers that wait behind the windows of large ones on a narrow link.
// Load: 10 Mbit/s, 0.45 answers of 540 KB and 20 small messages a second. A live read has 304 ms.
test('small messages hardly wait for large answers', () => {
  expect(play(undefined, 0.45).worstSmallMs).toBeGreaterThan(30);
  expect(play(LINK_MEGABITS, 0.45).worstSmallMs).toBeLessThan(20);
});

// Guards against large answers that miss their objective of 1,139 ms for the sake of small ones.
test('a large answer alone takes little longer than on the whole link', () => {
  const { largeMs } = play(LINK_MEGABITS, 0.45);
  const wholeMs = ANSWER_BYTES / BYTES_PER_MS;
  expect(Math.min(...largeMs)).toBeLessThan(1.4 * wholeMs);
});

// Guards against one answer that takes the link from another: all share one pace.
test('large answers together leave a part of the link to others', () => {
  const clock = new heapClock.HeapClock();
  const pace = new linkPace.LinkPace(() => LINK_MEGABITS, clock);
  const delaysMs = [1, 2, 3, 4].map(() => pace.pass(linkPace.PIECE_BYTES));
  expect(delaysMs[3]).toBeGreaterThan((4 * linkPace.PIECE_BYTES) / BYTES_PER_MS);
});

test('on a wide link, and without a known capacity, nothing is held up', () => {
  const clock = new heapClock.HeapClock();
  const wide = new linkPace.LinkPace(() => 1_000, clock);
  expect(wide.pass(linkPace.PIECE_BYTES)).toBe(0);
  expect(new linkPace.LinkPace(() => undefined, clock).pass(10_000_000)).toBe(0);
});
