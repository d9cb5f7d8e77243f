import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as childProcess from '../standin/ChildProcess';
import * as daemonProcess from '../standin/DaemonProcess';
import * as freePorts from '../standin/FreePorts';
import type * as standinTypes from '../standin/Types';
import * as tableText from '../standin/TableText';
import * as services from './Services';

const MAX_DAEMONS = 10;
const MAX_CONNECTIONS = 200;
const DAEMON_PORTS = 3;

/** Folder of the compiled files. */
const BUILD_FOLDER = path.join(__dirname, '..');

/** A backend server of the demo. */
export interface IDemoServer {
  readonly service: services.IDemoService;
  readonly address: string;
  readonly failureDomain: string;
  readonly process: childProcess.StandInProcess;
}

function failureDomainOf(index: number): string {
  return `domain-${(index % 3) + 1}`;
}

function startServers(seed: number): Promise<readonly IDemoServer[]> {
  const all = services.SERVICES.flatMap((service) =>
    Array.from({ length: service.servers }, () => service),
  );
  return Promise.all(
    all.map(async (service, index) => {
      const { slots, serviceMs } = service;
      const options = { slots, serviceMs, queueLimit: 50, seed: seed + index };
      const started = await childProcess.StandInProcess.start(BUILD_FOLDER, 'backend', options);
      const address = `127.0.0.1:${started.port}`;
      return { service, address, failureDomain: failureDomainOf(index), process: started };
    }),
  );
}

/** Processes of the demo: daemons, backend servers and the platform. */
export class DemoFleet {
  private tableVersion = 0;

  private constructor(
    public readonly servers: readonly IDemoServer[],
    public readonly daemons: readonly daemonProcess.DaemonProcess[],
    private readonly platform: childProcess.StandInProcess,
    private readonly folder: string,
  ) {}

  public static async start(daemonCount: number, seed: number): Promise<DemoFleet> {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'lavenderspar-demo-'));
    const servers = await startServers(seed);
    const options = { vmListLagMs: 1_000, slowMs: 1_000 };
    const platform = await childProcess.StandInProcess.start(
      BUILD_FOLDER,
      'configuration',
      options,
    );
    const ports = await freePorts.freePorts(daemonCount * DAEMON_PORTS);
    const daemons = await Promise.all(
      Array.from({ length: daemonCount }, (_, index) => {
        const [caller, operator, peer] = ports.slice(index * DAEMON_PORTS);
        return daemonProcess.DaemonProcess.start(BUILD_FOLDER, {
          name: `daemon-${index + 1}`,
          folder,
          callerAddress: `127.0.0.1:${caller}`,
          operatorAddress: `127.0.0.1:${operator}`,
          peerAddress: `127.0.0.1:${peer}`,
          failureDomain: failureDomainOf(index),
          platformUrl: `http://127.0.0.1:${platform.port}`,
          settings: { platformBalancerLagMs: 500 },
        });
      }),
    );
    const fleet = new DemoFleet(servers, daemons, platform, folder);
    await fleet.publishVms();
    await fleet.publishTable(servers);
    await Promise.all(daemons.map((daemon) => daemon.waitUntilReady()));
    return fleet;
  }

  /** Publishes the next table version, which lists only `servers`. */
  public async publishTable(servers: readonly IDemoServer[]): Promise<number> {
    this.tableVersion += 1;
    const cells = servers.map((server) => ({
      service: server.service.cells.name,
      address: server.address,
      failure_domain: server.failureDomain,
      slots: server.service.slots,
      max_connections: MAX_CONNECTIONS,
    }));
    const listed = services.SERVICES.map((service) => service.cells);
    const text = tableText.formatTable(this.tableVersion, MAX_DAEMONS, listed, cells);
    await this.platform.command('publish', { name: 'table', text });
    return this.tableVersion;
  }

  public records(): Promise<readonly standinTypes.IBackendRecord[]> {
    return Promise.all(
      this.servers.map((server) => server.process.command<standinTypes.IBackendRecord>('record')),
    );
  }

  /** Stops every process that the fleet started. */
  public async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    const standIns = [...this.servers.map((server) => server.process), this.platform];
    await Promise.all(standIns.map((standIn) => standIn.child.kill()));
    await fs.rm(this.folder, { recursive: true, force: true });
  }

  private async publishVms(): Promise<void> {
    const vms = this.daemons.map((daemon) => ({
      address: daemon.options.peerAddress,
      role: 'daemon' as const,
      failureDomain: daemon.options.failureDomain,
      state: 'live' as const,
    }));
    await this.platform.command('publish', { name: 'vms', text: tableText.formatVmList(1, vms) });
  }
}
