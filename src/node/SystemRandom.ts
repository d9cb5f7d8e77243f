import type * as types from '../common/Types';

/** Pseudorandom numbers from `Math.random`. Not suitable for secrets. */
export class SystemRandom implements types.IRandom {
  public next(): number {
    return Math.random();
  }

  public nextInteger(bound: number): number {
    return Math.floor(Math.random() * bound);
  }
}
