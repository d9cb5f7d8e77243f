import type * as demoFleet from './DemoFleet';

/** A scheduled event of the demo. */
export interface IDemoEvent {
  /** Time of the event, as a fraction of the run. */
  readonly at: number;
  readonly text: string;
  run(): Promise<unknown>;
}

const STRAGGLER_FACTOR = 30;

function serversOf(fleet: demoFleet.DemoFleet, service: string): demoFleet.IDemoServer[] {
  return fleet.servers.filter((server) => server.service.cells.name === service);
}

/**
 * Returns the events of the demo.
 * @param onStopping Called with the URL of a daemon that begins a graceful shutdown.
 */
export function demoEvents(
  fleet: demoFleet.DemoFleet,
  onStopping: (url: string) => void,
): readonly IDemoEvent[] {
  const straggler = serversOf(fleet, 'status-tracking')[0] as demoFleet.IDemoServer;
  const leaving = serversOf(fleet, 'failure-domain-board')[0] as demoFleet.IDemoServer;
  const failing = serversOf(fleet, 'status-tracking')[1] as demoFleet.IDemoServer;
  const stopped = fleet.daemons[fleet.daemons.length - 1];
  return [
    {
      at: 0.1,
      text: `${straggler.address} (status-tracking) becomes ${STRAGGLER_FACTOR} times slower`,
      run: () => straggler.process.command('faults', { slowFactor: STRAGGLER_FACTOR }),
    },
    {
      at: 0.3,
      text: `${straggler.address} (status-tracking) is fast again`,
      run: () => straggler.process.command('clearFaults'),
    },
    {
      at: 0.4,
      text: `${leaving.address} (failure-domain-board) begins to drain`,
      run: () => leaving.process.command('draining', true),
    },
    {
      at: 0.55,
      text: `a table version without ${leaving.address} is published`,
      run: () => fleet.publishTable(fleet.servers.filter((server) => server !== leaving)),
    },
    {
      at: 0.65,
      text: `${failing.address} (status-tracking) refuses every request at once`,
      run: () => failing.process.command('faults', { refuse: 'not-run' }),
    },
    {
      at: 0.75,
      text: `${failing.address} (status-tracking) works again`,
      run: () => failing.process.command('clearFaults'),
    },
    {
      at: 0.85,
      text: `${stopped?.options.name} begins a graceful shutdown`,
      run: async () => {
        onStopping(stopped?.url ?? '');
        stopped?.child.signal('SIGTERM');
      },
    },
  ];
}
