import type * as types from '../../common/Types';

/** Time after which a fetch without a result no longer holds up the next one, in milliseconds. */
const MAX_HOLD_MS = 750;

/**
 * Lets fetches take turns, so that a change that several peers report is fetched once. Of the
 * fetches that wait, only the latest one is kept, since its peer knows the most.
 */
export class FetchTurns {
  private isHeld = false;

  private waiting: ((isOwnTurn: boolean) => void) | undefined;

  public constructor(private readonly clock: types.IClock) {}

  /** Runs `fetch` at its turn, or not at all if a later one has taken its place meanwhile. */
  public async run(fetch: () => Promise<void>): Promise<void> {
    if (this.isHeld && !(await this.waitForTurn())) return;
    const release = this.hold();
    try {
      await fetch();
    } finally {
      release();
    }
  }

  private waitForTurn(): Promise<boolean> {
    this.waiting?.(false);
    return new Promise((resolve) => {
      this.waiting = resolve;
    });
  }

  /** Begins a turn, and returns the function that ends it. */
  private hold(): () => void {
    this.isHeld = true;
    let isOver = false;
    const end = () => {
      if (isOver) return;
      isOver = true;
      this.endTurn();
    };
    const timer = this.clock.setTimer(MAX_HOLD_MS, end);
    return () => {
      timer.dispose();
      end();
    };
  }

  private endTurn(): void {
    const { waiting } = this;
    this.waiting = undefined;
    // A turn that passes on stays held, so that no other fetch begins in between.
    this.isHeld = waiting !== undefined;
    waiting?.(true);
  }
}
