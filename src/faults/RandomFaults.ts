import type * as types from '../common/Types';
import type * as standinTypes from '../standin/Types';
import type * as faultFleet from './FaultFleet';
import * as testNetwork from './TestNetwork';
import * as pauseModule from '../standin/pause';

/** Component that a fault affects. Concurrent faults have different targets. */
export type Target = 'daemon' | 'server' | 'network' | 'platform' | 'table';

/** A fault that is injected by `begin` and removed by `end`. */
export interface IFault {
  readonly name: string;
  readonly target: Target;
  begin(index: number): Promise<void>;
  end(index: number): Promise<void>;
}

/** Time limit for a draining server to become idle, in milliseconds. */
const IDLE_TIMEOUT_MS = 20_000;

/** Draining time in milliseconds, long enough to detect new work after the limit of 5 s. */
const DRAINING_MS = 6_500;

/** Record of graceful shutdowns and of the requests that they cut. */
export interface IStopRecord {
  /** Number of requests in flight at servers when their graceful shutdown ended. */
  cutAtServers: number;
  /** Graceful shutdowns of daemons, with times on the clock of `performance`. */
  readonly daemonStops: { url: string; beginMs: number; endMs: number }[];
}

function serverFault(
  fleet: faultFleet.FaultFleet,
  name: string,
  faults: Partial<standinTypes.IBackendFaults>,
): IFault {
  return {
    name,
    target: 'server',
    begin: async (index) => fleet.servers[index]?.backend.setFaults(faults),
    end: async (index) => fleet.servers[index]?.backend.clearFaults(),
  };
}

async function waitUntilIdle(server: faultFleet.ITestServer): Promise<void> {
  const deadlineMs = performance.now() + IDLE_TIMEOUT_MS;
  while (server.backend.inFlight > 0 && performance.now() < deadlineMs) {
    await pauseModule.pause(10);
  }
}

function serverFaults(fleet: faultFleet.FaultFleet, stopRecord: IStopRecord): IFault[] {
  const server = (index: number) => fleet.servers[index] as faultFleet.ITestServer;
  const listen = async (index: number) => {
    await server(index).backend.listen(testNetwork.BACKEND_PORT, server(index).host);
  };
  return [
    serverFault(fleet, 'server slow', { slowFactor: 40 }),
    serverFault(fleet, 'server refuses', { refuse: 'not-run' }),
    serverFault(fleet, 'server refuses without the marker', { refuse: 'unmarked' }),
    serverFault(fleet, 'server truncates answers', { answer: 'truncated' }),
    serverFault(fleet, 'server sends oversized answers', { answer: 'oversized' }),
    serverFault(fleet, 'server answers before reading', { answer: 'early' }),
    serverFault(fleet, 'server reports no load', { loadReport: 'idle', slowFactor: 20 }),
    serverFault(fleet, 'server freezes its load report', { loadReport: 'frozen' }),
    serverFault(fleet, 'server delays requests', { delayMs: 300 }),
    {
      name: 'server stops answering on its connections',
      target: 'server',
      begin: async (index) => server(index).backend.silenceConnections(),
      end: async () => undefined,
    },
    {
      name: 'server crashes',
      target: 'server',
      begin: (index) => server(index).backend.close(),
      end: listen,
    },
    {
      name: 'server shuts down gracefully',
      target: 'server',
      begin: async (index) => {
        server(index).backend.setDraining(true);
        await pauseModule.pause(DRAINING_MS);
      },
      end: async (index) => {
        await waitUntilIdle(server(index));
        stopRecord.cutAtServers += server(index).backend.inFlight;
        await server(index).backend.close();
        server(index).backend.setDraining(false);
        await listen(index);
      },
    },
    {
      name: 'request crashes servers',
      target: 'server',
      begin: async () => {
        const request = { service: 'reads', identity: 'fatal read', crashes: true };
        const urls = fleet.daemons.map((daemon) => daemon.url);
        await Promise.all(urls.map((url) => fleet.caller.submit(url, request)));
      },
      end: async () => {
        const crashed = fleet.servers.filter(({ backend }) => !backend.isListening);
        await Promise.all(crashed.map((one) => listen(fleet.servers.indexOf(one))));
      },
    },
  ];
}

function daemonFaults(
  fleet: faultFleet.FaultFleet,
  stopRecord: IStopRecord,
  balancerTargets: Set<number>,
): IFault[] {
  const restart = async (index: number) => {
    await fleet.startDaemon(index);
    balancerTargets.add(index);
  };
  return [
    {
      name: 'daemon killed',
      target: 'daemon',
      begin: (index) => fleet.daemon(index).child.kill(),
      end: restart,
    },
    {
      name: 'daemon paused',
      target: 'daemon',
      begin: async (index) => fleet.daemon(index).child.signal('SIGSTOP'),
      end: async (index) => fleet.daemon(index).child.signal('SIGCONT'),
    },
    {
      name: 'daemon shuts down gracefully',
      target: 'daemon',
      begin: async (index) => {
        const stop = { url: fleet.daemon(index).url, beginMs: performance.now(), endMs: Infinity };
        stopRecord.daemonStops.push(stop);
        const exit = fleet.daemon(index).stop();
        setTimeout(() => balancerTargets.delete(index), 150);
        await exit;
        stop.endMs = performance.now();
      },
      end: restart,
    },
  ];
}

/** Returns all faults that can be drawn. */
export function allFaults(
  fleet: faultFleet.FaultFleet,
  stopRecord: IStopRecord,
  balancerTargets: Set<number>,
  publish: () => void,
): readonly IFault[] {
  const { network, platform } = fleet;
  const platformFault = (mode: 'down' | 'stale' | 'slow'): IFault => ({
    name: `platform ${mode}`,
    target: 'platform',
    begin: async () => platform.setMode(mode),
    end: async () => platform.setMode('up'),
  });
  const partition = (kind: 'reset' | 'silent'): IFault => ({
    name: `partition (${kind})`,
    target: 'network',
    begin: async (index) => network.cut([index], kind),
    end: async () => network.heal(),
  });
  return [
    ...serverFaults(fleet, stopRecord),
    ...daemonFaults(fleet, stopRecord, balancerTargets),
    ...(['down', 'stale', 'slow'] as const).map(platformFault),
    ...(['reset', 'silent'] as const).map(partition),
    {
      name: 'new table version',
      target: 'table',
      begin: async () => publish(),
      end: async () => undefined,
    },
  ];
}

/** One step of a run: one or two concurrent faults with different targets. */
export interface IStep {
  readonly faults: readonly { readonly fault: IFault; readonly index: number }[];
  readonly durationMs: number;
}

/** Draws the next step. The same seed gives the same steps. */
export function nextStep(
  faults: readonly IFault[],
  random: types.IRandom,
  fleet: faultFleet.FaultFleet,
): IStep {
  const draw = (from: readonly IFault[]) => from[random.nextInteger(from.length)] as IFault;
  const first = draw(faults);
  const isPair = random.next() < 0.5;
  const second = isPair ? draw(faults.filter(({ target }) => target !== first.target)) : undefined;
  const chosen = second === undefined ? [first] : [first, second];
  return {
    faults: chosen.map((fault) => {
      const count = fault.target === 'server' ? fleet.servers.length : fleet.daemons.length;
      return { fault, index: random.nextInteger(count) };
    }),
    durationMs: 300 + random.nextInteger(2_000),
  };
}
