import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as undici from 'undici';

import * as childProcess from '../../standin/ChildProcess';
import type * as deployFile from '../../standin/DeployFile';
import * as pauseModule from '../../standin/pause';
import type * as templates from '../../standin/renderTemplate';

const HOST = '127.0.0.1';
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 20;

/** Bounds of a small deployment, as they reach the settings template. */
const BOUNDS: templates.TemplateValues = {
  'bounds.configApply': '2000ms',
  'bounds.grace': '6s',
  'bounds.retryBudgetRatio': '0.2',
  'bounds.budgetSlack': '58',
  'bounds.budgetWindow': '10s',
  'bounds.probesPerS': '60',
  'limits.memoryMb': '350',
  'limits.maxFds': '4100',
};

/** Ports on the loopback, and the store, of a deployed daemon. */
export interface IDeployedDaemonOptions {
  readonly name: string;
  /** Folder for the settings file. */
  readonly folder: string;
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly peerPort: number;
  readonly seedPorts: readonly number[];
  /** IP address and port of the store. */
  readonly storeAddress: string;
  readonly failureDomain?: string;
  /** Placeholders of the settings template that differ from those of a small deployment. */
  readonly values?: templates.TemplateValues;
  /** Further parameters of `node`. */
  readonly nodeParameters?: readonly string[];
  /** Limit on the heap in megabytes, instead of that of the deploy file. */
  readonly heapMb?: number;
}

const HEAP_PARAMETER = '--max-old-space-size';

function withHeap(parameters: readonly string[], heapMb: number | undefined): string[] {
  return parameters.map((parameter) =>
    heapMb !== undefined && parameter.startsWith(`${HEAP_PARAMETER}=`)
      ? `${HEAP_PARAMETER}=${heapMb}`
      : parameter,
  );
}

/** A process with the command, the bundle and the settings template of the deploy file. */
export class DeployedDaemon {
  private constructor(
    public readonly options: IDeployedDaemonOptions,
    public readonly child: childProcess.ChildProcess,
  ) {}

  public get callerUrl(): string {
    return `http://${HOST}:${this.options.callerPort}`;
  }

  public get readinessUrl(): string {
    return `http://${HOST}:${this.options.readinessPort}`;
  }

  /** Starts a daemon. The program must have been built. */
  public static async start(
    deploy: deployFile.DeployFile,
    options: IDeployedDaemonOptions,
  ): Promise<DeployedDaemon> {
    const file = path.join(options.folder, `${options.name}.yaml`);
    const values = {
      ...BOUNDS,
      'listen.front': `${HOST}:${options.callerPort}`,
      'listen.ready': `${HOST}:${options.readinessPort}`,
      'listen.control': `${HOST}:${options.peerPort}`,
      zone: options.failureDomain ?? 'a',
      'provider.address': options.storeAddress,
      'seeds|json': JSON.stringify(options.seedPorts.map((port) => `${HOST}:${port}`)),
      ...options.values,
    };
    await fs.writeFile(file, deploy.settings(values));
    const child = new childProcess.ChildProcess(
      [...(options.nodeParameters ?? []), ...withHeap(deploy.nodeParameters, options.heapMb)],
      { LAVENDERSPAR_BOOT: file },
      deploy.folder,
    );
    return new DeployedDaemon(options, child);
  }

  /** Waits until the readiness check succeeds. Throws if the process ends before. */
  public async waitUntilReady(): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadlineMs && this.child.isRunning) {
      if (await this.isReady()) return;
      await pauseModule.pause(POLL_INTERVAL_MS);
    }
    const output = this.child.lines.join('\n');
    throw new Error(`${this.options.name} did not become ready: ${output}`);
  }

  private async isReady(): Promise<boolean> {
    try {
      const reply = await undici.request(`${this.readinessUrl}/v1/readyz`);
      await reply.body.dump();
      return reply.statusCode === 200;
    } catch {
      // A daemon that has not started to listen refuses the connection.
      return false;
    }
  }
}
