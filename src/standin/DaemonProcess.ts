import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as undici from 'undici';
import * as yaml from 'yaml';

import * as childProcess from './ChildProcess';
import * as pauseModule from './pause';

/** Where a daemon runs. Addresses are IP addresses; each daemon has three ports. */
export interface IDaemonProcessOptions {
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

const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 20;

/** A daemon as a process of its own. */
export class DaemonProcess {
  private constructor(
    public readonly options: IDaemonProcessOptions,
    public readonly child: childProcess.ChildProcess,
  ) {}

  public get url(): string {
    return `http://${this.options.callerAddress}`;
  }

  /** Starts `lavenderspar serve` from the compiled files in `sources`. */
  public static async start(
    buildFolder: string,
    options: IDaemonProcessOptions,
    nodeOptions: readonly string[] = [],
  ): Promise<DaemonProcess> {
    const file = path.join(options.folder, `${options.name}.yaml`);
    const { callerAddress, operatorAddress, peerAddress, failureDomain, platformUrl } = options;
    const addresses = { callerAddress, operatorAddress, peerAddress };
    const settings = { ...addresses, failureDomain, platformUrl, logLevel: 'warn' };
    await fs.writeFile(file, yaml.stringify({ ...settings, ...options.settings }));
    const serve = [...nodeOptions, path.join(buildFolder, 'cli/main.js'), 'serve', file];
    if (options.vm === undefined) {
      return new DaemonProcess(options, new childProcess.ChildProcess(serve, options.environment));
    }
    const preload = ['--require', path.join(buildFolder, 'standin/LoopbackVm.js')];
    const environment = {
      ...options.environment,
      VM_ADDRESS: options.vm.address,
      VM_BIND_ADDRESS: options.vm.bindAddress,
      VM_PEER_PORT: peerAddress.slice(peerAddress.lastIndexOf(':') + 1),
    };
    const child = new childProcess.ChildProcess([...preload, ...serve], environment);
    return new DaemonProcess(options, child);
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
  public async waitUntilReady(): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      if (!this.child.isRunning) break;
      if (await this.isReady()) return;
      await pauseModule.pause(POLL_INTERVAL_MS);
    }
    const output = this.child.lines.join('\n');
    throw new Error(`${this.options.name} did not become ready: ${output}`);
  }

  /** What the daemon tells the platform's balancer. */
  public async isReady(): Promise<boolean> {
    try {
      const reply = await undici.request(`http://${this.options.operatorAddress}/ready`);
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
