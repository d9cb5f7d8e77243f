import type * as types from '../Types';
import type * as policyTypes from './Types';

/** Time for which a refusal tells how long the queues of the servers are, in milliseconds. */
const MEMORY_MS = 5_000;

/**
 * Queue length from which the servers of a service refuse requests, learned from refusals. A server
 * does not state it. A reply that reports such a queue is outdated by the time a request arrives.
 */
export class QueueLimit {
  private queued = Number.POSITIVE_INFINITY;

  private learnedAtMs = Number.NEGATIVE_INFINITY;

  public constructor(private readonly clock: types.IClock) {}

  /**
   * Records the load that a server reported with a refusal. A server with a free slot had another
   * reason.
   */
  public recordRefusal(report: policyTypes.ILoadReport, slots: number): void {
    if (report.inFlight < slots || report.queued === 0) return;
    const nowMs = this.clock.monotonicMs();
    const known = nowMs - this.learnedAtMs > MEMORY_MS ? Number.POSITIVE_INFINITY : this.queued;
    this.queued = Math.min(known, report.queued);
    this.learnedAtMs = nowMs;
  }

  /** Returns the reply to a check, as `full` if a request would be refused. */
  public classify(reply: policyTypes.CheckReply): policyTypes.CheckReply {
    if (reply.kind !== 'ready' || reply.report === undefined) return reply;
    if (this.clock.monotonicMs() - this.learnedAtMs > MEMORY_MS) return reply;
    return reply.report.queued >= this.queued ? { kind: 'full', report: reply.report } : reply;
  }
}
