import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as undici from 'undici';
import * as yaml from 'yaml';

import * as childProcess from './ChildProcess';
import * as pauseModule from './pause';

/** Addresses and settings of a daemon process. Each address is an IP address and a port. */
export interface IDaemonProcessOptions {
  readonly name: string;
  /** Folder for the settings file. */
  readonly folder: string;
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly peerAddress: string;
  readonly failureDomain: string;
  readonly platformUrl: string;
  /** Makes the process act as a VM with its own IP address. See `LoopbackVm`. */
  readonly vm?: { readonly address: string; readonly bindAddress: string };
  /** Additional environment variables of the process. */
  readonly environment?: NodeJS.ProcessEnv;
  /** Additional settings of the daemon. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 20;

/** A daemon that runs as a child process. */
export class DaemonProcess {
  private constructor(
    public readonly options: IDaemonProcessOptions,
    public readonly child: childProcess.ChildProcess,
  ) {}

  public get url(): string {
    return `http://${this.options.callerAddress}`;
  }

  /** Starts `lavenderspar serve` from the compiled files in `buildFolder`. */
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

  /** Returns the active table version, 0 without a table, undefined if the daemon does not reply. */
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

  /** Waits until the readiness check of the daemon succeeds. */
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

  /** Returns whether the readiness check succeeds, which the platform's balancer uses. */
  public async isReady(): Promise<boolean> {
    try {
      const reply = await undici.request(`http://${this.options.operatorAddress}/ready`);
      await reply.body.dump();
      return reply.statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Shuts the daemon down gracefully, and returns its exit code. */
  public async stop(): Promise<number | undefined> {
    this.child.signal('SIGTERM');
    return this.child.exited;
  }
}
