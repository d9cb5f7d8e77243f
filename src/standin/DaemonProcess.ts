import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as undici from 'undici';
import * as yaml from 'yaml';

import * as childProcess from './ChildProcess';
import * as pauseModule from './pause';

/** Where a daemon runs. Addresses are IP addresses; each daemon has three ports. */
export interface IDaemonPlace {
  readonly name: string;
  /** Folder for the settings file. */
  readonly folder: string;
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly platformUrl: string;
  /** Set if the process shall act as a VM with its own IP address. See `LoopbackVm`. */
  readonly vm?: { readonly address: string; readonly bindAddress: string };
  /** Further variables of the environment of the process. */
  readonly environment?: NodeJS.ProcessEnv;
  /** Further settings of the daemon. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

const READY_LIMIT_MS = 20_000;
const POLL_INTERVAL_MS = 20;

/** A daemon as a process of its own. */
export class DaemonProcess {
  private constructor(
    public readonly place: IDaemonPlace,
    public readonly child: childProcess.ChildProcess,
  ) {}

  public get url(): string {
    return `http://${this.place.callerAddress}`;
  }

  /** Starts `lavenderspar serve` from the compiled files in `sources`. */
  public static async start(
    sources: string,
    place: IDaemonPlace,
    nodeOptions: readonly string[] = [],
  ): Promise<DaemonProcess> {
    const file = path.join(place.folder, `${place.name}.yaml`);
    const { callerAddress, operatorAddress, peerAddress, failureDomain, platformUrl } = place;
    const addresses = { callerAddress, operatorAddress, peerAddress };
    const settings = { ...addresses, failureDomain, platformUrl, logLevel: 'warn' };
    await fs.writeFile(file, yaml.stringify({ ...settings, ...place.settings }));
    const serve = [...nodeOptions, path.join(sources, 'cli/main.js'), 'serve', file];
    if (place.vm === undefined) {
      return new DaemonProcess(place, new childProcess.ChildProcess(serve, place.environment));
    }
    const preload = ['--require', path.join(sources, 'standin/LoopbackVm.js')];
    const environment = {
      ...place.environment,
      VM_ADDRESS: place.vm.address,
      VM_BIND_ADDRESS: place.vm.bindAddress,
      VM_PEER_PORT: peerAddress.slice(peerAddress.lastIndexOf(':') + 1),
    };
    const child = new childProcess.ChildProcess([...preload, ...serve], environment);
    return new DaemonProcess(place, child);
  }

  /** Version of the table in force, 0 if there is none, undefined if the daemon does not reply. */
  public async tableVersion(): Promise<number | undefined> {
    try {
      const reply = await undici.request(`${this.url}/unlisted-service/x`, {
        headersTimeout: 2_000,
        bodyTimeout: 2_000,
      });
      const problem = (await reply.body.json()) as { tableVersion?: number };
      return problem.tableVersion ?? 0;
    } catch {
      return undefined;
    }
  }

  /** Waits until the daemon says that it is ready. */
  public async becomesReady(): Promise<void> {
    const limitMs = performance.now() + READY_LIMIT_MS;
    while (performance.now() < limitMs) {
      if (!this.child.isRunning) break;
      if (await this.isReady()) return;
      await pauseModule.pause(POLL_INTERVAL_MS);
    }
    const output = this.child.lines.join('\n');
    throw new Error(`${this.place.name} did not become ready: ${output}`);
  }

  /** What the daemon tells the platform's balancer. */
  public async isReady(): Promise<boolean> {
    try {
      const reply = await undici.request(`http://${this.place.operatorAddress}/ready`);
      await reply.body.dump();
      return reply.statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Stops the daemon as planned, and returns its exit code. */
  public async stop(): Promise<number | undefined> {
    this.child.signal('SIGTERM');
    return this.child.exited;
  }
}
