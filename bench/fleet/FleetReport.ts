import * as membershipPlay from './MembershipPlay';
import * as percentiles from './Percentiles';
import * as relayPlay from './RelayPlay';
import * as retryPlay from './RetryPlay';

/** Figures of a fleet of one size on the virtual clock. */
export interface IFleetReport extends retryPlay.IRetryFigures {
  readonly members: number;
  readonly seed: number;
  /** Share of the pairs of live daemons of which one suspects the other, while nothing happens. */
  readonly wronglySuspectedPercent: number;
  /** Share of the pairs of live daemons of which one does not know the other. */
  readonly missingPercent: number;
  readonly detectionP99Ms: number;
  /** Bytes that the busiest daemon sends in a second for exchanges and notices. */
  readonly bytesPerSecondMax: number;
  /** Messages of the daemon with the most, relative to the median. */
  readonly hottestToMedianMessages: number;
  readonly changeToAllMs: number;
}

function addUp(left: readonly number[], right: readonly number[]): number[] {
  return left.map((value, index) => value + (right[index] ?? 0));
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/**
 * Plays membership, shared limits and dissemination of a fleet.
 * @param killShare Share of the daemons that are killed at once to measure the detection.
 */
export function reportFleet(members: number, seed: number, killShare: number): IFleetReport {
  const membership = membershipPlay.playMembership(members, seed, killShare);
  const relay = relayPlay.playRelay(members, seed);
  const messages = addUp(membership.messagesPerSecond, relay.messagesPerSecond);
  const median = percentiles.percentile(messages, 0.5);
  return {
    members,
    seed,
    wronglySuspectedPercent: round(membership.wronglySuspectedPercent),
    missingPercent: round(membership.missingPercent),
    detectionP99Ms: membership.detectionP99Ms,
    bytesPerSecondMax: Math.round(
      Math.max(...addUp(membership.bytesPerSecond, relay.bytesPerSecond)),
    ),
    hottestToMedianMessages: median === 0 ? 1 : round(Math.max(...messages) / median),
    ...retryPlay.playRetries(members, seed),
    changeToAllMs: relay.changeToAllMs,
  };
}
