import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

import type * as types from './Types';

const TWO_TO_32 = 2 ** 32;

/** Deterministic random source: the same seed gives the same sequence. */
export class SeededRandom implements types.IRandom {
  private readonly generator: ReturnType<typeof xoroshiro.xoroshiro128plus>;

  public constructor(seed: number) {
    this.generator = xoroshiro.xoroshiro128plus(seed);
  }

  public next(): number {
    return (this.generator.next() >>> 0) / TWO_TO_32;
  }

  public nextInteger(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}
