import type * as checkBudget from '../policy/CheckBudget';
import * as checkReplyCache from '../policy/CheckReplyCache';
import * as checkedSelection from '../policy/CheckedSelection';
import type * as serverState from '../policy/ServerState';
import type * as policyTypes from '../policy/Types';
import type * as types from '../Types';
import type * as callTypes from './Types';

/** Weight of the newest duration in the moving average of the usual work. */
const SERVICE_TIME_SMOOTHING = 0.05;

/** Time in which a server whose connection was lost has to show that it still runs, in ms. */
const LOSS_CHECK_TIMEOUT_MS = 500;

/** Asks servers right before each dispatch, in place of the selection policy. */
export interface ICheckedSelectorOptions {
  readonly checker: callTypes.IServerChecker;
  /** Questions that this daemon may ask, for all services together. */
  readonly budget: checkBudget.CheckBudget;
  readonly random: types.IRandom;
  /** Failure domain of this daemon. */
  readonly failureDomain: string;
  /** Rank of a server at this daemon, by which servers of other failure domains are asked. */
  readonly rankOf: (address: string) => number;
}

/** Asks the servers of one service, and keeps what the choice among them needs. */
export class CheckedSelector {
  private readonly replyCache = new checkReplyCache.CheckReplyCache();

  /** Moving average of the time that an idle server takes for a request. */
  private idleServiceTimeMs: number | undefined;

  /** @param healthPath Path at which the servers reply to questions. */
  public constructor(
    private readonly options: ICheckedSelectorOptions,
    private readonly healthPath: string,
    private readonly clock: types.IClock,
  ) {}

  /** @param onSelected Called once, at once or later, unless the selection is disposed before. */
  public select(
    candidates: readonly serverState.ServerState[],
    objectiveAtMs: number | undefined,
    onSelected: (selected: checkedSelection.SelectionResult) => void,
  ): types.IDisposable {
    const selection = new checkedSelection.CheckedSelection(
      candidates,
      this.replyCache,
      {
        ...this.options,
        clock: this.clock,
        healthPath: this.healthPath,
        idleServiceTimeMs: this.idleServiceTimeMs,
        objectiveAtMs,
        onReply: (server, reply) => this.recordReply(server, reply),
      },
      onSelected,
    );
    selection.begin();
    return selection;
  }

  /** Takes the duration of an answered attempt, relative to the cost of its dispatch. */
  public recordServiceTime(serviceTimeMs: number): void {
    const previousMs = this.idleServiceTimeMs ?? serviceTimeMs;
    this.idleServiceTimeMs = previousMs + SERVICE_TIME_SMOOTHING * (serviceTimeMs - previousMs);
  }

  /** Calls `onConfirmed` if the process of a server is gone, as far as that can be found out. */
  public confirmLoss(server: serverState.ServerState, onConfirmed: () => void): void {
    this.options.checker.check(server.row, this.healthPath, LOSS_CHECK_TIMEOUT_MS, (reply) => {
      if (reply.kind === 'unreachable' || reply.kind === 'replaced') onConfirmed();
    });
  }

  private recordReply(server: serverState.ServerState, reply: policyTypes.CheckReply): void {
    const report = 'report' in reply ? reply.report : undefined;
    if (report !== undefined) server.recordReport(report, this.clock.monotonicMs());
    else if (reply.kind === 'ready') server.dropReport();
  }
}
