import * as platformServer from '../platform/testing/PlatformServer';
import * as pauseModule from '../standin/pause';
import type * as soakFaults from './SoakFaults';
import * as soakFleet from './SoakFleet';
import type * as soakTypes from './Types';

/** Limit that a server names, in requests a second, and the least time for which it does. */
const LIMIT_PER_SECOND = 4;
const LIMIT_MS = 7_000;

/** Time for which a server is cold, in milliseconds. */
const COLD_MS = 4_000;

/** Returns the faults with which a server takes only so many requests a second of all daemons. */
export function makeRateFaults(fleet: soakFleet.SoakFleet): soakFaults.IFault[] {
  const targetOf = (index: number) => (fleet.servers[index] as soakFleet.ISoakServer).target;
  const openLimits = new Map<number, soakTypes.ILimitInterval>();
  return [
    {
      name: 'server names a limit',
      subject: 'server',
      begin: async (index) => {
        const { id } = targetOf(index);
        const beginMs = performance.now();
        const endMs = Number.POSITIVE_INFINITY;
        const limit = { process: id, perSecond: LIMIT_PER_SECOND, beginMs, endMs };
        openLimits.set(index, limit);
        fleet.limits.push(limit);
        targetOf(index).signals = { [platformServer.SERVER_LIMIT]: `${LIMIT_PER_SECOND}` };
        await pauseModule.pause(LIMIT_MS);
      },
      end: async (index) => {
        Object.assign(openLimits.get(index) ?? {}, { endMs: performance.now() });
        targetOf(index).signals = {};
      },
    },
    {
      name: 'server is cold again',
      subject: 'server',
      begin: async (index) => {
        const target = targetOf(index);
        const beginMs = performance.now();
        const endMs = beginMs + COLD_MS;
        fleet.coldIntervals.push({ process: target.id, beginMs, endMs });
        target.checkSignals = {
          get [platformServer.WARMUP_REMAINING]() {
            return `${Math.max(0, Math.ceil(endMs - performance.now()))}ms`;
          },
        };
        await pauseModule.pause(COLD_MS);
      },
      end: async (index) => {
        targetOf(index).checkSignals = {};
      },
    },
  ];
}
