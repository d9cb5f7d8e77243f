import * as undici from 'undici';

import type * as routedDaemon from '../../node/RoutedDaemon';
import * as freePorts from '../../standin/FreePorts';
import * as platformDaemon from './PlatformDaemon';
import * as platformRecords from './PlatformRecords';
import * as platformServer from './PlatformServer';
import * as platformStore from './PlatformStore';

/** Requests until a path counts as not served, and the interval between them, in milliseconds. */
const MAX_TRIES = 500;
const INTERVAL_MS = 10;

/** Requests after the first success that have to succeed as well. */
const CONFIRMATIONS = 10;

/** A store, one server of the service `reads`, and a daemon that is not started yet. */
export class SingleServerRig {
  private constructor(
    public readonly store: platformStore.PlatformStore,
    public readonly server: platformServer.PlatformServer,
    /** Address under which the server is registered. */
    public readonly address: string,
    public readonly daemon: routedDaemon.RoutedDaemon,
    private readonly callerPort: number,
    private readonly readinessPort: number,
  ) {}

  /** @param coldRateFactor Setting that bounds the requests to a cold server. */
  public static async make(coldRateFactor?: number): Promise<SingleServerRig> {
    const store = new platformStore.PlatformStore();
    const server = new platformServer.PlatformServer('i-1');
    const address = await server.listen();
    store.put('servers/i-1', platformRecords.makeServerEntry('reads', address));
    const ports = (await freePorts.freePorts(3)) as [number, number, number];
    const [callerPort, readinessPort, peerPort] = ports;
    const { daemon } = platformDaemon.makePlatformDaemon({
      ...{ callerPort, readinessPort, peerPort, directoryUrl: await store.listen() },
      ...(coldRateFactor === undefined ? {} : { coldRateFactor }),
    });
    return new SingleServerRig(store, server, address, daemon, callerPort, readinessPort);
  }

  public async stop(): Promise<void> {
    await this.daemon.stop();
    await Promise.all([this.store.close(), this.server.close()]);
  }

  /**
   * Publishes a configuration with routes to the server.
   * @param coldRate Requests a second that it takes while it is cold.
   */
  public publish(version: number, prefixes: readonly string[], coldRate?: number): void {
    const rules = prefixes.map((prefix) => ({ prefix, service: 'reads' }));
    this.store.put('op/config', platformRecords.makeConfiguration(version, rules, coldRate));
  }

  /** URL at which the daemon serves the pages for operators. */
  public get readinessUrl(): string {
    return `http://127.0.0.1:${this.readinessPort}`;
  }

  /** Sends a request. */
  public request(path: string): Promise<undici.Dispatcher.ResponseData> {
    return undici.request(`http://127.0.0.1:${this.callerPort}${path}`, {
      headers: { host: platformRecords.HOST, 'request-id': 'r', 'request-deadline': '1000' },
    });
  }

  /** Returns the status of the answer to a request. */
  public async statusOf(path: string): Promise<number> {
    const reply = await this.request(path);
    await reply.body.dump();
    return reply.statusCode;
  }

  /** Returns the statuses of a few requests, the first of which is sent until it succeeds. */
  public statusesOnceServed(path: string): Promise<readonly number[]> {
    return this.statusesOnce(path, 200);
  }

  /** Returns the statuses of a few requests, the first of which is sent until it is refused. */
  public statusesOnceRefused(path: string): Promise<readonly number[]> {
    return this.statusesOnce(path, 503);
  }

  private async statusesOnce(path: string, status: number): Promise<readonly number[]> {
    for (let tries = 0; tries < MAX_TRIES && (await this.statusOf(path)) !== status; tries += 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, INTERVAL_MS);
      });
    }
    const statuses: number[] = [];
    while (statuses.length < CONFIRMATIONS) statuses.push(await this.statusOf(path));
    return statuses;
  }
}
