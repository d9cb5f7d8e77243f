import * as path from 'node:path';

import * as undici from 'undici';

import * as deployedDaemon from '../platform/testing/DeployedDaemon';
import * as platformStore from '../platform/testing/PlatformStore';
import * as platformServer from '../platform/testing/PlatformServer';
import * as platformRecords from '../platform/testing/PlatformRecords';
import type * as childProcess from '../standin/ChildProcess';
import * as deployFile from '../standin/DeployFile';
import * as freePorts from '../standin/FreePorts';
import * as tcpRelay from '../standin/TcpRelay';
import type * as soakTypes from './Types';

/** Retry budget of the fleet: a fraction of the requests plus an allowance, per window. */
export const RETRY_FRACTION = 0.2;
export const RETRY_ALLOWANCE = 58;
export const RETRY_WINDOW_MS = 10_000;

/** Requests a second that a cold server takes, and the bound on them in any one second. */
const COLD_PER_SECOND = 4;
const COLD_RATE_FACTOR = 1.5;
const COLD_RATE_ALLOWANCE = 4;
export const COLD_BOUND = COLD_PER_SECOND * COLD_RATE_FACTOR + COLD_RATE_ALLOWANCE;

/** Time between SIGTERM and a forced exit, in milliseconds. */
export const STOP_GRACE_MS = 6_000;

const SERVERS_PER_SERVICE = 4;
const WORK_MS = 20;
const BODY_BYTES = 3_000;

/** Size of the answer to a request whose identifier begins with `LARGE_PREFIX`, in bytes. */
export const LARGE_BODY_BYTES = 8 * 1024 * 1024;
export const LARGE_PREFIX = 'large-';

/** Lines of output that are kept of a process that ended by itself. */
const LINES_OF_END = 5;

const HOST = '127.0.0.1';

/** The services, and whether their requests are idempotent. */
export const SERVICES: ReadonlyMap<string, boolean> = new Map([
  ['reads', true],
  ['orders', false],
]);

/** A registered backend server behind a relay. */
export interface ISoakServer {
  readonly service: string;
  readonly target: platformServer.PlatformServer;
  readonly relay: tcpRelay.TcpRelay;
  readonly port: number;
  /** Address of the relay, which the server registers. */
  readonly address: string;
  /** Time at which its draining state was published; undefined if it is not draining. */
  leavingSinceMs: number | undefined;
}

interface IDaemonPorts {
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly peerPort: number;
}

/** Returns the body that a server sends for a request. Callers compare it to detect truncation. */
export function bodyOf(requestId: string): string {
  const bytes = requestId.startsWith(LARGE_PREFIX) ? LARGE_BODY_BYTES : BODY_BYTES;
  return `${requestId}:`.padEnd(bytes, 'x');
}

function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}

/** Daemon processes with stand-ins for the store and the backend servers, connected by relays. */
export class SoakFleet {
  public readonly store = new platformStore.PlatformStore();

  public readonly servers: ISoakServer[] = [];

  public readonly daemons: deployedDaemon.DeployedDaemon[] = [];

  public readonly runs: soakTypes.IRunRecord[] = [];

  public readonly arrivals: soakTypes.IArrivalRecord[] = [];

  public readonly statements: soakTypes.IStatementRecord[] = [];

  public readonly limits: soakTypes.ILimitInterval[] = [];

  public readonly coldIntervals: soakTypes.IColdInterval[] = [];

  /** Ends of daemon processes that nobody asked for, or with an exit code other than 0. */
  public readonly ownEnds: soakTypes.IOwnEnd[] = [];

  /** Versions of the configuration, in the order of their publication. */
  public readonly publications: soakTypes.IPublication[] = [];

  public storeRelay: tcpRelay.TcpRelay | undefined;

  private storeAddress = '';

  private deploy: deployFile.DeployFile | undefined;

  /** Number of entries that the servers have written. */
  private entriesWritten = 0;

  private daemonPorts: IDaemonPorts[] = [];

  private nextServerNumber = 1;

  private configurationVersion = 0;

  /** @param buildFolder Folder of the compiled files. */
  public constructor(
    private readonly buildFolder: string,
    private readonly folder: string,
  ) {}

  public async start(daemons: number): Promise<void> {
    const port = portOf(await this.store.listen());
    this.storeRelay = new tcpRelay.TcpRelay(HOST, port);
    this.storeAddress = `${HOST}:${await this.storeRelay.listen(0, HOST)}`;
    const deploy = await deployFile.DeployFile.read();
    this.deploy = await deploy.buildIn(path.join(this.folder, 'program'));
    for (const service of SERVICES.keys()) {
      for (let count = 0; count < SERVERS_PER_SERVICE; count += 1) await this.addServer(service);
    }
    this.publishConfiguration();
    const ports = await freePorts.freePorts(3 * daemons);
    this.daemonPorts = Array.from({ length: daemons }, (_, index) => ({
      callerPort: ports[3 * index] as number,
      readinessPort: ports[3 * index + 1] as number,
      peerPort: ports[3 * index + 2] as number,
    }));
    await Promise.all(this.daemonPorts.map((_, index) => this.startDaemon(index)));
  }

  public async stop(): Promise<void> {
    await Promise.all(this.daemons.map(({ child }) => child.kill()));
    await Promise.all(this.servers.map(({ relay }) => relay.close()));
    await this.storeRelay?.close();
    await this.store.close();
    await Promise.all(this.servers.map(({ target }) => target.close()));
  }

  /** Publishes a configuration with the next version. */
  public publishConfiguration(): void {
    this.configurationVersion += 1;
    this.putConfiguration();
    this.publications.push({ version: this.configurationVersion, atMs: performance.now() });
  }

  /** Restores the store from a copy. The configuration and the servers are then written again. */
  public restoreStore(copy: platformStore.IStoreCopy): void {
    this.store.restore(copy);
    this.putConfiguration();
    this.servers.forEach((server) => this.putServer(server));
  }

  private putConfiguration(): void {
    const rules = [...SERVICES].map(([service, idempotent]) => ({
      prefix: `/${service}/`,
      service,
      kind: idempotent ? ('idempotent' as const) : ('non_idempotent' as const),
      timeout: '1500ms',
      maxAttempts: 3,
    }));
    this.store.put(
      'op/config',
      platformRecords.makeConfiguration(this.configurationVersion, rules, COLD_PER_SECOND),
    );
  }

  /** Starts a server and registers it. */
  public async addServer(service: string): Promise<ISoakServer> {
    const target = new platformServer.PlatformServer(`i-${this.nextServerNumber}`);
    this.nextServerNumber += 1;
    target.workMs = WORK_MS;
    target.bodyOf = bodyOf;
    const port = portOf(await target.listen());
    const relay = new tcpRelay.TcpRelay(HOST, port);
    const address = `${HOST}:${await relay.listen(0, HOST)}`;
    const server = { service, target, relay, port, address, leavingSinceMs: undefined };
    target.onRun = (requestId) => this.recordRun(server, requestId);
    target.onArrival = (requestId) =>
      this.arrivals.push({ requestId, process: target.id, atMs: performance.now() });
    target.onResponse = (requestId) => this.recordStatement(target, requestId);
    this.servers.push(server);
    this.register(server);
    return server;
  }

  /** Publishes the directory entry of a server. */
  public register(server: ISoakServer, state: 'ready' | 'draining' = 'ready'): void {
    const changed = server;
    changed.leavingSinceMs = state === 'draining' ? performance.now() : undefined;
    this.putServer(server);
  }

  private putServer({ service, address, target, leavingSinceMs }: ISoakServer): void {
    const state = leavingSinceMs === undefined ? 'ready' : 'draining';
    this.entriesWritten += 1;
    this.store.put(
      `servers/${target.id}`,
      platformRecords.makeServerEntry(service, address, { state, seq: this.entriesWritten }),
    );
  }

  /** Starts the daemon with this index, and waits until it is ready. */
  public async startDaemon(index: number): Promise<void> {
    const { callerPort, readinessPort, peerPort } = this.daemonPorts[index] as IDaemonPorts;
    if (this.deploy === undefined) throw new Error('the program is not built yet');
    const daemon = await deployedDaemon.DeployedDaemon.start(this.deploy, {
      ...{ name: `daemon-${index}`, folder: this.folder, callerPort, readinessPort, peerPort },
      seedPorts: this.daemonPorts.slice(0, 2).map((ports) => ports.peerPort),
      storeAddress: this.storeAddress,
      values: {
        'bounds.grace': `${STOP_GRACE_MS}ms`,
        'bounds.retryBudgetRatio': `${RETRY_FRACTION}`,
        'bounds.budgetSlack': `${RETRY_ALLOWANCE}`,
        'bounds.budgetWindow': `${RETRY_WINDOW_MS}ms`,
        'bounds.coldOver': `${COLD_RATE_FACTOR}`,
        'bounds.coldSlack': `${COLD_RATE_ALLOWANCE}`,
      },
      nodeParameters: ['--require', path.join(this.buildFolder, 'soak/ClockStep.js')],
    });
    this.daemons[index] = daemon;
    daemon.child.exited.then(
      (code) => this.recordEnd(index, daemon.child, code),
      () => undefined,
    );
    await daemon.waitUntilReady();
  }

  /** Returns the active configuration version of a daemon; undefined if it does not reply. */
  public async configurationVersionAt(index: number): Promise<number | undefined> {
    const text = await this.readPage(index, '/metrics');
    const value = /lavenderspar_configuration_version (\d+)/.exec(text ?? '')?.[1];
    return value === undefined ? undefined : Number(value);
  }

  private recordEnd(
    index: number,
    { ending, lines }: childProcess.ChildProcess,
    code: number | undefined,
  ): void {
    if (ending === 'killed' || (ending === 'asked' && code === 0)) return;
    this.ownEnds.push({ daemon: index, code, lastLines: lines.slice(-LINES_OF_END) });
  }

  /** Returns a page at the readiness address; undefined unless its status is 200. */
  private async readPage(index: number, page: string): Promise<string | undefined> {
    const timeouts = { headersTimeout: 1_000, bodyTimeout: 1_000 };
    try {
      const url = `${(this.daemons[index] as deployedDaemon.DeployedDaemon).readinessUrl}${page}`;
      const reply = await undici.request(url, timeouts);
      const text = await reply.body.text();
      return reply.statusCode === 200 ? text : undefined;
    } catch {
      // A daemon that is down, paused or about to start does not reply.
      return undefined;
    }
  }

  private recordStatement(target: platformServer.PlatformServer, requestId: string): void {
    const atMs = performance.now();
    const statement = { requestId, process: target.id, atMs };
    const pauseS = target.signals[platformServer.RETRY_AFTER];
    if (target.signals[platformServer.SERVER_LEAVING] !== undefined) {
      this.statements.push({ ...statement, kind: 'leaving', untilMs: Number.POSITIVE_INFINITY });
    }
    if (pauseS !== undefined && target.answer === 'shed') {
      const untilMs = atMs + 1_000 * Number(pauseS);
      this.statements.push({ ...statement, kind: 'pause', untilMs });
    }
  }

  private recordRun(server: ISoakServer, requestId: string): void {
    const atMs = performance.now();
    const { service, leavingSinceMs } = server;
    const leavingForMs = leavingSinceMs === undefined ? undefined : atMs - leavingSinceMs;
    this.runs.push({ requestId, service, atMs, leavingForMs });
  }
}
