import * as policyFactory from '../../common/policy/PolicyFactory';
import * as serverState from '../../common/policy/ServerState';
import * as seededRandom from '../../common/SeededRandom';

const SERVER_COUNTS: readonly number[] = [10, 100, 770];
/** Number of servers scored in each measurement, so that each takes about the same time. */
const SCORED_SERVERS = 4_000_000;
const WARM_UP_ROUNDS = 2_000;

function createStates(count: number): readonly serverState.ServerState[] {
  const random = new seededRandom.SeededRandom(1);
  return Array.from({ length: count }, (_item, index) => {
    const state = new serverState.ServerState({
      service: 'status',
      address: `10.0.${Math.floor(index / 250)}.${index % 250}:80`,
      failureDomain: 'a',
      weight: 1,
      slots: 3,
      maxConnections: 200,
    });
    state.recordEnd(state.recordStart(0), 'answered', 5 + 10 * random.next());
    state.recordReport({ inFlight: random.nextInteger(4), queued: 0, draining: false }, 20);
    state.recordStart(25);
    return state;
  });
}

function nanosecondsPerChoice(name: string, count: number): number {
  const policy = policyFactory.createPolicy(name, new seededRandom.SeededRandom(2));
  const states = createStates(count);
  const rounds = Math.ceil(SCORED_SERVERS / count);
  let nowMs = 30;
  // Advances the clock as at 100 calls per second on one daemon, because policies cache the median.
  const choose = (times: number): void => {
    for (let round = 0; round < times; round += 1) {
      nowMs += 10;
      policy.choose(states, nowMs);
    }
  };
  choose(WARM_UP_ROUNDS);
  const startNs = process.hrtime.bigint();
  choose(rounds);
  return Number(process.hrtime.bigint() - startNs) / rounds;
}

policyFactory.POLICY_NAMES.forEach((name) => {
  const cells = SERVER_COUNTS.map((count) => {
    const cost = Math.round(nanosecondsPerChoice(name, count));
    return `${count} servers ${cost} ns`;
  });
  process.stdout.write(`${name.padEnd(16)} ${cells.join('   ')}\n`);
});
