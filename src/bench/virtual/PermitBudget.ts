import type * as policyTypes from '../../common/policy/Types';
import type * as types from '../../common/Types';

const REUSE_AFTER_REPLY_MS = 1_000;
const REUSE_AFTER_TIMEOUT_MS = 2_000;
const START_DELAY_MS = 2_000;

/** Implements the permit rule of design section 5.4 for one daemon and one service. */
export class PermitBudget implements policyTypes.IProbeBudget {
  private free = 0;

  public constructor(
    share: number,
    private readonly clock: types.IClock,
  ) {
    this.releaseAfter(START_DELAY_MS, share);
  }

  public get hasFree(): boolean {
    return this.free > 0;
  }

  public take(): policyTypes.IProbePermit | undefined {
    if (this.free === 0) return undefined;
    this.free -= 1;
    return {
      replied: () => this.releaseAfter(REUSE_AFTER_REPLY_MS, 1),
      timedOut: () => this.releaseAfter(REUSE_AFTER_TIMEOUT_MS, 1),
    };
  }

  private releaseAfter(delayMs: number, count: number): void {
    this.clock.setTimer(delayMs, () => {
      this.free += count;
    });
  }
}

/** Grants every probe. Used for the probing policy, which has no budget. */
export class UnlimitedBudget implements policyTypes.IProbeBudget {
  public readonly hasFree = true;

  public readonly take = (): policyTypes.IProbePermit => ({
    replied: () => undefined,
    timedOut: () => undefined,
  });
}
