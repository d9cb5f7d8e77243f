import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as childProcess from '../../standin/ChildProcess';
import * as daemonProcess from '../../standin/DaemonProcess';
import * as freePorts from '../../standin/FreePorts';
import * as tableText from '../../standin/TableText';

const SOURCES = path.join(__dirname, '../..');
const SERVERS = 3;
const MAX_CONNECTIONS = 200;

/** Name of the service that the bench calls. */
export const SERVICE = 'status';

/** The processes of the overhead bench: backend servers, a minimal proxy and one daemon. */
export class OverheadFleet {
  private constructor(
    public readonly directUrls: readonly string[],
    public readonly proxy: childProcess.StandInProcess,
    public readonly daemon: daemonProcess.DaemonProcess,
    private readonly otherProcesses: readonly childProcess.StandInProcess[],
    private readonly folder: string,
  ) {}

  /**
   * @param nodeOptions Options of Node.js for the daemon.
   * @param environment Environment variables of the daemon.
   */
  public static async start(
    nodeOptions: readonly string[],
    environment: NodeJS.ProcessEnv = {},
  ): Promise<OverheadFleet> {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'lavenderspar-overhead-'));
    const start = (kind: 'echo' | 'configuration' | 'proxy', options: object) =>
      childProcess.StandInProcess.start(SOURCES, kind, options);
    const servers = await Promise.all(Array.from({ length: SERVERS }, () => start('echo', {})));
    const addresses = servers.map((server) => `127.0.0.1:${server.port}`);
    const proxy = await start('proxy', { addresses });
    const platform = await start('configuration', { vmListLagMs: 0, slowMs: 0 });
    await OverheadFleet.publish(platform, addresses);
    const [caller, operator, peer] = await freePorts.freePorts(3);
    const daemon = await daemonProcess.DaemonProcess.start(
      SOURCES,
      {
        name: 'daemon',
        folder,
        environment,
        callerAddress: `127.0.0.1:${caller}`,
        operatorAddress: `127.0.0.1:${operator}`,
        peerAddress: `127.0.0.1:${peer}`,
        failureDomain: 'domain-1',
        platformUrl: `http://127.0.0.1:${platform.port}`,
      },
      nodeOptions,
    );
    await daemon.waitUntilReady();
    const urls = addresses.map((address) => `http://${address}`);
    return new OverheadFleet(urls, proxy, daemon, [...servers, platform], folder);
  }

  public async stop(): Promise<void> {
    await this.daemon.stop();
    await Promise.all([this.proxy, ...this.otherProcesses].map((standIn) => standIn.child.kill()));
    await fs.rm(this.folder, { recursive: true, force: true });
  }

  private static async publish(
    platform: childProcess.StandInProcess,
    addresses: readonly string[],
  ): Promise<void> {
    const service = {
      name: SERVICE,
      class: 'prompt' as const,
      idempotent: 'yes' as const,
      deadline_ms: 5_000,
      probes_per_second: 10,
    };
    const servers = addresses.map((address, index) => ({
      service: SERVICE,
      address,
      failure_domain: `domain-${index + 1}`,
      slots: 64,
      max_connections: MAX_CONNECTIONS,
    }));
    const text = tableText.formatTable(1, 1, [service], servers);
    await platform.command('publish', { name: 'table', text });
    await platform.command('publish', { name: 'vms', text: tableText.formatVmList(1, []) });
  }
}
