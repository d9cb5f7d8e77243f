import type * as types from '../common/Types';

/** The random source of the JavaScript engine. Not for secrets. */
export class SystemRandom implements types.IRandom {
  public next(): number {
    return Math.random();
  }

  public nextInteger(bound: number): number {
    return Math.floor(Math.random() * bound);
  }
}
