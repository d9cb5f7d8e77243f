import * as http from 'node:http';
import type * as net from 'node:net';

import type * as types from '../common/Types';

/** How the stand-in handles reads. */
export type ServiceMode = 'up' | 'down' | 'stale' | 'slow';

interface IValue {
  readonly revision: number;
  readonly text: string;
}

interface IWatch {
  readonly name: string;
  readonly after: number;
  readonly reader: string;
  readonly response: http.ServerResponse;
  readonly timer: types.IDisposable;
}

interface IBehaviour {
  readonly mode: ServiceMode;
  /** Values at the time the mode was set, which mode `stale` returns. */
  readonly staleValues: ReadonlyMap<string, IValue>;
}

/** Settings of the stand-in. Durations are in milliseconds. */
export interface IConfigurationOptions {
  /** Time after which a published VM list becomes visible. */
  readonly vmListLagMs: number;
  /** Delay of each answer in mode `slow`. */
  readonly slowMs: number;
}

const MAX_WAIT_MS = 60_000;

/** Stand-in for the platform's configuration service: values that can be read and watched. */
export class ConfigurationService {
  /** Number of reads and watches received. A watch counts once, however long it waits. */
  public calls = 0;

  /** Number of calls received, by second of the monotonic clock. */
  public readonly callsBySecond = new Map<number, number>();

  /** Highest revision sent, by reader and name, as in `127.0.0.1 table`. */
  public readonly deliveredRevisions = new Map<string, number>();

  private readonly values = new Map<string, IValue>();

  private readonly watches = new Set<IWatch>();

  private behaviour: IBehaviour = { mode: 'up', staleValues: new Map() };

  private readonly behaviourOfReader = new Map<string, IBehaviour>();

  private readonly server = http.createServer((request, response) => this.serve(request, response));

  public constructor(
    private readonly clock: types.IClock,
    private readonly options: IConfigurationOptions = { vmListLagMs: 0, slowMs: 1_000 },
  ) {}

  public listen(port = 0, host = '127.0.0.1'): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () =>
        resolve((this.server.address() as net.AddressInfo).port),
      );
    });
  }

  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.watches.forEach((watch) => watch.timer.dispose());
      this.watches.clear();
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  /** Publishes a value under the next revision. The VM list becomes visible after its lag. */
  public publish(name: string, text: string): void {
    const { vmListLagMs } = this.options;
    if (name === 'vms' && vmListLagMs > 0 && this.values.has(name)) {
      this.clock.setTimer(vmListLagMs, () => this.makeVisible(name, text));
    } else this.makeVisible(name, text);
  }

  /**
   * Sets the mode for all readers, or only for those at the IP addresses `readers`. In mode
   * `stale`, reads return the values from the time of this call.
   */
  public setMode(mode: ServiceMode, readers: readonly string[] = []): void {
    const behaviour = { mode, staleValues: new Map(this.values) };
    if (readers.length === 0) {
      this.behaviour = behaviour;
      this.behaviourOfReader.clear();
    }
    readers.forEach((reader) => this.behaviourOfReader.set(reader, behaviour));
    [...this.watches]
      .filter((watch) => this.behaviourFor(watch.reader).mode === 'down')
      .forEach((watch) => watch.response.socket?.destroy());
  }

  private behaviourFor(reader: string): IBehaviour {
    return this.behaviourOfReader.get(reader) ?? this.behaviour;
  }

  private makeVisible(name: string, text: string): void {
    const revision = (this.values.get(name)?.revision ?? 0) + 1;
    this.values.set(name, { revision, text });
    [...this.watches].filter((watch) => watch.name === name).forEach((watch) => this.notify(watch));
  }

  private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.calls += 1;
    const second = Math.floor(this.clock.monotonicMs() / 1_000);
    this.callsBySecond.set(second, (this.callsBySecond.get(second) ?? 0) + 1);
    const reader = request.socket.remoteAddress ?? '';
    const { mode } = this.behaviourFor(reader);
    if (mode === 'down') {
      request.socket.destroy();
      return;
    }
    const url = new URL(request.url ?? '/', 'http://platform');
    if (mode !== 'slow') this.read(url, reader, response);
    else this.clock.setTimer(this.options.slowMs, () => this.read(url, reader, response));
  }

  private read(url: URL, reader: string, response: http.ServerResponse): void {
    const name = url.pathname.replace('/values/', '');
    const after = Number(url.searchParams.get('after') ?? 0);
    const waitMs = Math.min(Number(url.searchParams.get('waitMs') ?? 0), MAX_WAIT_MS);
    const value = this.valueFor(name, reader);
    if (value !== undefined && value.revision > after) {
      this.deliver(name, reader, value, response);
    } else if (waitMs > 0) {
      this.watch(name, after, reader, response, waitMs);
    } else {
      response.writeHead(value === undefined ? 404 : 304).end();
    }
  }

  private valueFor(name: string, reader: string): IValue | undefined {
    const { mode, staleValues } = this.behaviourFor(reader);
    return (mode === 'stale' ? staleValues : this.values).get(name);
  }

  private watch(
    name: string,
    after: number,
    reader: string,
    response: http.ServerResponse,
    waitMs: number,
  ): void {
    const { watches } = this;
    const watch: IWatch = {
      name,
      after,
      reader,
      response,
      timer: this.clock.setTimer(waitMs, () => {
        watches.delete(watch);
        response.writeHead(304).end();
      }),
    };
    watches.add(watch);
    response.once('close', () => {
      watch.timer.dispose();
      watches.delete(watch);
    });
  }

  private notify(watch: IWatch): void {
    const value = this.valueFor(watch.name, watch.reader);
    if (value === undefined || value.revision <= watch.after) return;
    this.watches.delete(watch);
    watch.timer.dispose();
    this.deliver(watch.name, watch.reader, value, watch.response);
  }

  private deliver(
    name: string,
    reader: string,
    value: IValue,
    response: http.ServerResponse,
  ): void {
    this.deliveredRevisions.set(`${reader} ${name}`, value.revision);
    response.writeHead(200, { revision: `${value.revision}` }).end(value.text);
  }
}
