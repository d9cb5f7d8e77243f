import type * as types from '../../common/Types';

const INITIAL_DELAY_MS = 50;

/** Returns the delay before retry `round`, from 1: doubled each round, plus up to 25% jitter. */
export function delayMs(round: number, random: types.IRandom): number {
  return INITIAL_DELAY_MS * 2 ** (round - 1) * (1 + random.next() / 4);
}

export function wait(clock: types.IClock, durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(durationMs, resolve);
  });
}
