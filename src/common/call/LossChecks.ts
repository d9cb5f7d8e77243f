import type * as serverState from '../policy/ServerState';
import type * as types from '../Types';
import type * as callTypes from './Types';

/**
 * Time within which the end of a server explains why a request on it was lost, in milliseconds. The
 * platform removes a silent server after three heartbeats, each of 1.5 s or more.
 */
const UNDECIDED_LIFETIME_MS = 15_000;

/** Maximum number of lost requests whose server may have ended. */
const MAX_UNDECIDED = 1_000;

/** A request that was lost on a server that may have ended. */
export interface IUndecidedLoss {
  readonly server: serverState.ServerState;
  readonly sinceMs: number;
  readonly onVerdict: (verdict: callTypes.LossVerdict) => void;
}

/**
 * Lost requests until it is known whether their server has ended, from a check or from the table. A
 * server that does not answer a check may also be out of reach of this daemon alone.
 */
export class LossChecks {
  /** In the order of the losses. */
  private readonly undecided = new Set<IUndecidedLoss>();

  public constructor(private readonly clock: types.IClock) {}

  /** Whether no loss is undecided. */
  public get isEmpty(): boolean {
    return this.undecided.size === 0;
  }

  /** @param onVerdict Called once, when the loss is decided or its time is over. */
  public add(
    server: serverState.ServerState,
    onVerdict: IUndecidedLoss['onVerdict'],
  ): IUndecidedLoss {
    const loss = { server, sinceMs: this.clock.monotonicMs(), onVerdict };
    this.undecided.add(loss);
    this.removeExpired();
    return loss;
  }

  /** Applies the result of a check. */
  public recordCheck(loss: IUndecidedLoss, verdict: callTypes.LossVerdict): void {
    if (verdict !== 'undecided') this.decide(loss, verdict);
  }

  /** Records that the process of a server is not listed any longer. */
  public recordUnlisted(server: serverState.ServerState): void {
    this.removeExpired();
    [...this.undecided]
      .filter((loss) => loss.server === server)
      .forEach((loss) =>
        this.decide(loss, server.repliedAtMs > loss.sinceMs ? 'running' : 'ended'),
      );
  }

  private decide(loss: IUndecidedLoss, verdict: callTypes.LossVerdict): void {
    if (this.undecided.delete(loss)) loss.onVerdict(verdict);
  }

  private removeExpired(): void {
    const oldestMs = this.clock.monotonicMs() - UNDECIDED_LIFETIME_MS;
    const excess = this.undecided.size - MAX_UNDECIDED;
    [...this.undecided]
      .filter(({ sinceMs }, index) => index < excess || sinceMs < oldestMs)
      .forEach((loss) => this.decide(loss, 'undecided'));
  }
}
