import type * as faultFleet from '../../faults/FaultFleet';

/** A fault that is injected or cleared during a run. */
export interface ILiveEvent {
  /** Fraction of the duration of the run. */
  readonly atFraction: number;
  run(fleet: faultFleet.FaultFleet): void;
}

/** An offered load over real daemons, and the faults that are injected under it. */
export interface ILiveScenario {
  /** Offered load as a fraction of the capacity of all slots at normal speed. */
  readonly utilization: number;
  readonly events: readonly ILiveEvent[];
}

const STRAGGLER_FACTOR = 20;
const NOISY_FACTOR = 5;
const NOISY_PERIODS = 20;

function slowDown(index: number, slowFactor: number) {
  return (fleet: faultFleet.FaultFleet) =>
    fleet.servers[index % fleet.servers.length]?.backend.setFaults({ slowFactor });
}

/** Slows down one server after another for a short time each. */
function noisyEvents(): readonly ILiveEvent[] {
  return Array.from({ length: NOISY_PERIODS }, (_, period) => [
    { atFraction: period / NOISY_PERIODS, run: slowDown(period, NOISY_FACTOR) },
    { atFraction: (period + 0.8) / NOISY_PERIODS, run: slowDown(period, 1) },
  ]).flat();
}

export const SCENARIOS: ReadonlyMap<string, ILiveScenario> = new Map([
  ['steady', { utilization: 0.6, events: [] }],
  [
    'straggler',
    { utilization: 0.6, events: [{ atFraction: 0.3, run: slowDown(0, STRAGGLER_FACTOR) }] },
  ],
  ['noisy', { utilization: 0.6, events: noisyEvents() }],
  [
    'fastfail',
    {
      utilization: 0.6,
      events: [
        {
          atFraction: 0.3,
          run: (fleet) => fleet.servers[0]?.backend.setFaults({ refuse: 'unmarked' }),
        },
        { atFraction: 0.7, run: (fleet) => fleet.servers[0]?.backend.clearFaults() },
      ],
    },
  ],
  [
    'drain',
    {
      utilization: 0.6,
      events: [{ atFraction: 0.3, run: (fleet) => fleet.servers[0]?.backend.setDraining(true) }],
    },
  ],
]);
