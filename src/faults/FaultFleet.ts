import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as seededRandom from '../common/SeededRandom';
import * as systemClock from '../node/SystemClock';
import * as audit from '../standin/Audit';
import * as backendServer from '../standin/BackendServer';
import * as caller from '../standin/Caller';
import * as configurationService from '../standin/ConfigurationService';
import * as daemonProcess from '../standin/DaemonProcess';
import * as tableText from '../standin/TableText';
import * as testNetwork from './TestNetwork';
import type * as faultTypes from './Types';

const DEFAULT_MAX_DAEMONS = 10;
const MAX_CONNECTIONS = 200;

/** A backend server of a test and its address in the table. */
export interface ITestServer {
  readonly service: faultTypes.ITestService;
  readonly host: string;
  readonly address: string;
  readonly backend: backendServer.BackendServer;
}

function failureDomainOf(index: number): string {
  return `domain-${(index % 3) + 1}`;
}

/**
 * Daemons in child processes, with the platform and the backend servers in the process of the
 * test, so that their records survive a crash.
 */
export class FaultFleet {
  public readonly clock = new systemClock.SystemClock();

  public readonly caller = new caller.Caller();

  public readonly platform = new configurationService.ConfigurationService(this.clock);

  public readonly network: testNetwork.TestNetwork;

  public readonly daemons: daemonProcess.DaemonProcess[] = [];

  public readonly servers: ITestServer[] = [];

  private platformUrl = '';

  private folder = '';

  private vmListRevision = 0;

  private closed = false;

  private constructor(private readonly options: faultTypes.IFleetOptions) {
    this.network = new testNetwork.TestNetwork(options.daemons);
  }

  /** Starts the fleet and waits until each daemon is ready. */
  public static async start(options: faultTypes.IFleetOptions): Promise<FaultFleet> {
    const fleet = new FaultFleet(options);
    fleet.folder = await fs.mkdtemp(path.join(os.tmpdir(), 'lavenderspar-faults-'));
    await fleet.network.start();
    await fleet.startServers();
    fleet.publishTable(1);
    fleet.publishVms();
    fleet.platformUrl = `http://127.0.0.1:${await fleet.platform.listen()}`;
    const indexes = Array.from({ length: options.daemons }, (_, index) => index);
    await Promise.all(indexes.map((index) => fleet.startDaemon(index)));
    return fleet;
  }

  public get isClosed(): boolean {
    return this.closed;
  }

  public daemon(index: number): daemonProcess.DaemonProcess {
    const daemon = this.daemons[index];
    if (daemon === undefined) throw new Error(`daemon ${index} has not been started`);
    return daemon;
  }

  public serversOf(service: string): readonly ITestServer[] {
    return this.servers.filter((server) => server.service.cells.name === service);
  }

  /** Starts or restarts the daemon at its address, and waits until it is ready. */
  public async startDaemon(index: number): Promise<void> {
    const daemon = await daemonProcess.DaemonProcess.start(this.options.buildFolder, {
      name: `daemon-${index}`,
      folder: this.folder,
      ...this.network.addressesOf(index),
      failureDomain: failureDomainOf(index),
      platformUrl: this.platformUrl,
      settings: { platformBalancerLagMs: 300, ...this.options.settings },
    });
    this.daemons[index] = daemon;
    await daemon.waitUntilReady();
  }

  /** Publishes a table with the servers for which `isIncluded` returns true. */
  public publishTable(
    version: number,
    isIncluded: (server: ITestServer) => boolean = () => true,
  ): void {
    const cells = this.servers.filter(isIncluded).map((server) => ({
      service: server.service.cells.name,
      address: server.address,
      failure_domain: failureDomainOf(this.servers.indexOf(server)),
      slots: server.service.options.slots,
      max_connections: MAX_CONNECTIONS,
    }));
    const services = this.options.services.map((service) => service.cells);
    const maxDaemons = this.options.maxDaemons ?? DEFAULT_MAX_DAEMONS;
    this.platform.publish('table', tableText.formatTable(version, maxDaemons, services, cells));
  }

  /** Publishes the VM list. The backend servers in `leaving` have state `leaving`. */
  public publishVms(leaving: readonly string[] = []): void {
    this.vmListRevision += 1;
    const daemons = Array.from({ length: this.options.daemons }, (_, index) => ({
      address: this.network.addressesOf(index).peerAddress,
      role: 'daemon' as const,
      failureDomain: failureDomainOf(index),
      state: 'live' as const,
    }));
    const servers = this.servers.map((server, index) => ({
      address: server.address,
      role: 'backend-server' as const,
      failureDomain: failureDomainOf(index),
      state: leaving.includes(server.address) ? ('leaving' as const) : ('live' as const),
    }));
    const text = tableText.formatVmList(this.vmListRevision, [...daemons, ...servers]);
    this.platform.publish('vms', text);
  }

  /** Identities of the requests that backend servers started, in order by server. */
  public get startedIdentities(): readonly string[] {
    return this.servers.flatMap(({ backend }) => backend.record.runs.map((run) => run.identity));
  }

  /** Compares the outcomes that callers received with the requests that servers started. */
  public audit(isAtMostOnce: (identity: string) => boolean): audit.IAudit {
    return audit.audit(
      this.caller.submissions,
      audit.countStarts(this.startedIdentities),
      isAtMostOnce,
    );
  }

  /** Kills the daemons and closes all servers. */
  public async close(): Promise<void> {
    this.closed = true;
    await Promise.all(this.daemons.map((daemon) => daemon.child.kill()));
    await this.caller.close();
    await Promise.all(this.servers.map((server) => server.backend.close()));
    await this.platform.close();
    await this.network.close();
    await fs.rm(this.folder, { recursive: true, force: true });
  }

  private async startServers(): Promise<void> {
    const all = this.options.services.flatMap((service) =>
      Array.from({ length: service.servers }, () => service),
    );
    all.forEach((service, index) => {
      const random = new seededRandom.SeededRandom(this.options.seed + index);
      const sources = { clock: this.clock, random };
      const host = this.network.backendAddress(index);
      const address = `${host}:${testNetwork.BACKEND_PORT}`;
      const backend = new backendServer.BackendServer(service.options, sources);
      this.servers.push({ service, host, address, backend });
    });
    await Promise.all(
      this.servers.map(({ backend, host }) => backend.listen(testNetwork.BACKEND_PORT, host)),
    );
  }
}
