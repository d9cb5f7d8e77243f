import type * as tableText from '../standin/TableText';

/** A service of the demo and the load on it. */
export interface IDemoService {
  readonly cells: tableText.IServiceCells;
  readonly servers: number;
  readonly slots: number;
  readonly serviceMs: number;
  /** Number of callers, each with one request in flight. */
  readonly callers: number;
  /** Mean pause of a caller between requests, in milliseconds. */
  readonly pauseMs: number;
}

/** Services of both companies, with twelve backend servers in total. */
export const SERVICES: readonly IDemoService[] = [
  {
    cells: {
      name: 'status-tracking',
      class: 'prompt',
      idempotent: 'yes',
      deadline_ms: 1_000,
      probes_per_second: 20,
    },
    servers: 3,
    slots: 3,
    serviceMs: 10,
    callers: 6,
    pauseMs: 25,
  },
  {
    cells: { name: 'historic-records', class: 'leisure', idempotent: 'yes', deadline_ms: 5_000 },
    servers: 2,
    slots: 3,
    serviceMs: 60,
    callers: 4,
    pauseMs: 30,
  },
  {
    cells: { name: 'lodgement-intake', class: 'prompt', idempotent: 'no', deadline_ms: 2_000 },
    servers: 2,
    slots: 3,
    serviceMs: 20,
    callers: 3,
    pauseMs: 40,
  },
  {
    cells: {
      name: 'failure-domain-board',
      class: 'prompt',
      idempotent: 'yes',
      deadline_ms: 1_000,
      probes_per_second: 20,
    },
    servers: 3,
    slots: 4,
    serviceMs: 8,
    callers: 8,
    pauseMs: 20,
  },
  {
    cells: { name: 'gang-dispatch', class: 'prompt', idempotent: 'no', deadline_ms: 2_000 },
    servers: 2,
    slots: 4,
    serviceMs: 20,
    callers: 3,
    pauseMs: 40,
  },
];
