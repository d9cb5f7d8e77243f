import type * as checkBudget from '../policy/CheckBudget';
import * as checkReplyCache from '../policy/CheckReplyCache';
import * as checkedSelection from '../policy/CheckedSelection';
import * as serverOrder from '../policy/ServerOrder';
import * as queueLimit from '../policy/QueueLimit';
import type * as serverState from '../policy/ServerState';
import type * as policyTypes from '../policy/Types';
import type * as types from '../Types';
import type * as callTypes from './Types';

/** Timeout of the check of a server after a connection to it was lost, in milliseconds. */
const LOSS_CHECK_TIMEOUT_MS = 500;

/** Age up to which a load report is that of the response which has just ended, in milliseconds. */
const SAME_RESPONSE_MS = 5;

/** Dependencies and parameters of the server checks that replace the selection policy. */
export interface ICheckedSelectorOptions {
  readonly checker: callTypes.IServerChecker;
  /** Budget of this daemon's checks, shared by all services. */
  readonly budget: checkBudget.CheckBudget;
  readonly random: types.IRandom;
  /** Failure domain of this daemon. */
  readonly failureDomain: string;
  /** Returns the rank of a server, by which this daemon sorts servers of other failure domains. */
  readonly rankOf: (address: string) => number;
  /** Calls back once a server has replied, which shows that this daemon still reaches servers. */
  readonly onceHeard?: ((callback: () => void) => void) | undefined;
}

/** Checks the servers of one service immediately before each dispatch. */
export class CheckedSelector {
  private readonly replyCache = new checkReplyCache.CheckReplyCache();

  private readonly order: serverOrder.ServerOrder;

  private readonly queueLimit: queueLimit.QueueLimit;

  /** @param healthPath Path at which the servers answer checks. */
  public constructor(
    private readonly options: ICheckedSelectorOptions,
    private readonly healthPath: string,
    private readonly clock: types.IClock,
  ) {
    const { checker, random, failureDomain } = options;
    this.queueLimit = new queueLimit.QueueLimit(clock);
    this.order = new serverOrder.ServerOrder({
      clock,
      random,
      failureDomain,
      hasIdleConnection: (address) => checker.hasIdleConnection(address),
      owesReply: (address) => this.replyCache.isPending(address),
    });
  }

  /**
   * Checks a few of the candidates.
   * @param maxRounds Maximum number of checks, if fewer than usual.
   * @param onEnd Called once, possibly synchronously, unless disposed first.
   */
  public check(
    candidates: readonly serverState.ServerState[],
    maxRounds: number | undefined,
    onEnd: (result: checkedSelection.CheckResult) => void,
  ): types.IDisposable {
    // A recheck counts as well: while calls wait, more servers have to be asked.
    this.order.recordCall();
    const { checker } = this.options;
    const selection = new checkedSelection.CheckedSelection(
      candidates,
      this.replyCache,
      {
        ...this.options,
        checker: {
          hasIdleConnection: (address) => checker.hasIdleConnection(address),
          check: (row, path, timeoutMs, onReply) =>
            checker.check(row, path, timeoutMs, (reply) =>
              onReply(this.queueLimit.classify(reply)),
            ),
        },
        clock: this.clock,
        order: this.order,
        healthPath: this.healthPath,
        onReply: (server, reply) => this.recordReply(server, reply),
      },
      onEnd,
      maxRounds,
    );
    selection.begin();
    return selection;
  }

  /** Records that a server has refused a request, with the load that it stated. */
  public recordRefusal(server: serverState.ServerState): void {
    const { report, reportedAtMs, address, slots } = server;
    const nowMs = this.clock.monotonicMs();
    if (report === undefined || nowMs - reportedAtMs > SAME_RESPONSE_MS) return;
    this.queueLimit.recordRefusal(report, slots);
    this.replyCache.recordFull(address, report, nowMs);
  }

  /**
   * Checks whether a server has ended. One that is unreachable is checked again once others reply:
   * after a cut of the network its requests would otherwise be taken for ones that crash servers.
   * @param onVerdict Called at most once.
   */
  public checkLoss(
    server: serverState.ServerState,
    onVerdict: (verdict: callTypes.LossVerdict) => void,
  ): void {
    const { onceHeard } = this.options;
    this.checkOnce(server, (verdict, isUnreachable) => {
      if (!isUnreachable || onceHeard === undefined) onVerdict(verdict);
      else onceHeard(() => this.checkOnce(server, onVerdict));
    });
  }

  private checkOnce(
    server: serverState.ServerState,
    onVerdict: (verdict: callTypes.LossVerdict, isUnreachable: boolean) => void,
  ): void {
    this.options.checker.check(server.row, this.healthPath, LOSS_CHECK_TIMEOUT_MS, ({ kind }) => {
      const isUnreachable = kind === 'unreachable';
      if (isUnreachable || kind === 'replaced') onVerdict('ended', isUnreachable);
      else onVerdict(kind === 'silent' ? 'undecided' : 'running', false);
    });
  }

  private recordReply(server: serverState.ServerState, reply: policyTypes.CheckReply): void {
    if ('report' in reply) server.recordReply(this.clock.monotonicMs());
    const report = 'report' in reply ? reply.report : undefined;
    if (report !== undefined) server.recordReport(report, this.clock.monotonicMs());
    else if (reply.kind === 'ready') server.dropReport();
  }
}
