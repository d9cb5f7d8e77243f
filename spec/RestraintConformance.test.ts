import * as manualClock from '../src/common/ManualClock';
import * as serverRestraints from '../src/common/restraint/ServerRestraints';
import type * as restraintTypes from '../src/common/restraint/Types';
import * as seededRandom from '../src/common/SeededRandom';
import * as restraintSpecification from './RestraintSpecification';
import * as traces from './Traces';

const TICK_MS = 1_000;
const ADDRESS = '10.0.0.1:80';

function processOf(process: number): restraintTypes.IServerProcess {
  return { address: ADDRESS, instance: 'i-1', startedAtMs: process };
}

/** Daemons of the specification, each with `ServerRestraints` of the product. */
class RealDaemons {
  private readonly clock = new manualClock.ManualClock();

  private readonly restraints: serverRestraints.ServerRestraints[];

  public constructor(count: number) {
    this.restraints = Array.from({ length: count }, () => this.make());
  }

  public apply(
    { process, isLeaving, daemons }: restraintSpecification.IRestraintState,
    event: restraintSpecification.RestraintEvent,
  ): void {
    if (event.type === 'tick') this.clock.advance(TICK_MS);
    if (event.type === 'restart') this.restraints[event.daemon] = this.make();
    if (event.type === 'learn') this.of(event.daemon).mergeLeaving(processOf(event.process));
    if (event.type !== 'respond') return;
    const { listed } = daemons[event.daemon] as restraintSpecification.IRestrainedDaemonState;
    // The protocol tells apart the responses of another process.
    if (listed !== process) return;
    const signals = { limit: 'none', isLeaving, pauseMs: event.pause * TICK_MS } as const;
    this.of(event.daemon).record(processOf(listed), signals, 'answer');
  }

  public restraintOf(daemon: number, process: number): restraintTypes.Restraint | undefined {
    return this.of(daemon).restraintOf(processOf(process));
  }

  private of(daemon: number): serverRestraints.ServerRestraints {
    return this.restraints[daemon] as serverRestraints.ServerRestraints;
  }

  private make(): serverRestraints.ServerRestraints {
    const random = new seededRandom.SeededRandom(1);
    return new serverRestraints.ServerRestraints('10.0.1.1:1', this.clock, random);
  }
}

function replay(
  specification: restraintSpecification.RestraintSpecification,
  events: readonly restraintSpecification.RestraintEvent[],
): void {
  let state = specification.initial;
  const real = new RealDaemons(state.daemons.length);
  events.forEach((event) => {
    real.apply(state, event);
    state = specification.next(state, event);
    state.daemons.forEach((daemon, index) =>
      expect(real.restraintOf(index, daemon.listed)).toBe(
        restraintSpecification.restraintOf(daemon),
      ),
    );
  });
}

test('the restraints match the specification on a trace to every state of one daemon', () => {
  const bounds = { daemons: 1, processes: 2, maxRestarts: 1 };
  const specification = new restraintSpecification.RestraintSpecification(undefined, bounds);
  traces.tracesToAllStates(specification).forEach((events) => replay(specification, events));
});

test('the restraints match the specification on random traces of three daemons', () => {
  const bounds = { daemons: 3, processes: 4, maxRestarts: 2 };
  const specification = new restraintSpecification.RestraintSpecification(undefined, bounds);
  const random = new seededRandom.SeededRandom(31);
  for (let run = 0; run < 200; run += 1) {
    replay(specification, traces.randomTrace(specification, 60, random));
  }
});
