import * as seededRandom from '../../src/common/SeededRandom';
import * as relayFleet from '../../src/common/testing/RelayFleet';

const SETTLE_MS = 20_000;
const MEASURED_MS = 20_000;

const CHANGE_STEP_MS = 10;
const MAX_CHANGE_MS = 30_000;

/** Encoded size of a notice: the record of its sender and the revision of its directory. */
const NOTICE_BYTES = 100;

/** How a fleet passes on the directory. */
export interface IRelayFigures {
  /** Bytes of notices that each daemon sends in a second, while nothing changes. */
  readonly bytesPerSecond: readonly number[];
  /** Notices and replies that each daemon sends or receives in a second. */
  readonly messagesPerSecond: readonly number[];
  /** Time until a change that is published has reached all daemons, in milliseconds. */
  readonly changeToAllMs: number;
}

export function playRelay(members: number, seed: number): IRelayFigures {
  const fleet = new relayFleet.RelayFleet(members, new seededRandom.SeededRandom(seed));
  fleet.advance(SETTLE_MS);
  fleet.notices.clear();
  fleet.handled.clear();
  fleet.advance(MEASURED_MS);
  const perSecond = (counts: ReadonlyMap<string, number>) =>
    fleet.daemons.map(({ address }) => (1_000 * (counts.get(address) ?? 0)) / MEASURED_MS);
  const messagesPerSecond = perSecond(fleet.handled);
  const bytesPerSecond = perSecond(fleet.notices).map((count) => NOTICE_BYTES * count);
  fleet.publish(2);
  let changeToAllMs = 0;
  while (changeToAllMs < MAX_CHANGE_MS && fleet.daemons.some(({ revision }) => revision < 2)) {
    fleet.advance(CHANGE_STEP_MS);
    changeToAllMs += CHANGE_STEP_MS;
  }
  return { bytesPerSecond, messagesPerSecond, changeToAllMs };
}
