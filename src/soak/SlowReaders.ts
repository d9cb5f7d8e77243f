import * as http from 'node:http';

import type * as types from '../common/Types';
import type * as deployedDaemon from '../platform/testing/DeployedDaemon';
import * as platformRecords from '../platform/testing/PlatformRecords';
import * as wireNames from '../platform/WireNames';
import * as soakFleet from './SoakFleet';
import type * as soakTypes from './Types';

/** Mean time between two large answers, in milliseconds. */
const INTERVAL_MS = 300;

/** Rate at which a caller reads, in bytes per millisecond: an answer takes four seconds. */
const READ_RATE = soakFleet.LARGE_BODY_BYTES / 4_000;

const DEADLINE_MS = 5_000;
const SERVICE = 'reads';

/** Callers that read large answers slowly, so that a stop finds answers that are being written. */
export class SlowReaders {
  private readonly pending = new Set<Promise<void>>();

  private timer: NodeJS.Timeout | undefined;

  private nextId = 1;

  /**
   * @param calls Where the calls are recorded.
   * @param balancerTargets Indexes of the daemons to which callers are sent.
   */
  public constructor(
    private readonly fleet: soakFleet.SoakFleet,
    private readonly calls: soakTypes.ICallRecord[],
    private readonly balancerTargets: ReadonlySet<number>,
    private readonly random: types.IRandom,
  ) {}

  public start(): void {
    this.timer = setTimeout(
      () => {
        this.startCall();
        this.start();
      },
      2 * INTERVAL_MS * this.random.next(),
    );
  }

  /** Stops the load, and resolves when every call has ended. */
  public async stop(): Promise<void> {
    clearTimeout(this.timer);
    await Promise.all(this.pending);
  }

  private startCall(): void {
    const numbers = [...this.balancerTargets];
    if (numbers.length === 0) return;
    const daemon = numbers[this.random.nextInteger(numbers.length)] as number;
    const startMs = performance.now();
    const requestId = `${soakFleet.LARGE_PREFIX}${this.nextId}`;
    this.nextId += 1;
    const record: soakTypes.ICallRecord = {
      ...{ requestId, service: SERVICE, idempotent: true, daemon, startMs, endMs: startMs },
      ...{ end: 'unknown', status: undefined },
    };
    this.calls.push(record);
    const done = this.send(record).finally(() => this.pending.delete(done));
    this.pending.add(done);
  }

  private send(record: soakTypes.ICallRecord): Promise<void> {
    const changed = record;
    const { requestId } = record;
    const { callerUrl } = this.fleet.daemons[record.daemon] as deployedDaemon.DeployedDaemon;
    const headers = {
      host: platformRecords.HOST,
      [wireNames.REQUEST_ID]: requestId,
      [wireNames.REQUEST_DEADLINE]: `${DEADLINE_MS}`,
    };
    return new Promise((resolve) => {
      // A kept connection may be taken for idle by a daemon that stops.
      const agent = new http.Agent({ keepAlive: true });
      const end = () => {
        agent.destroy();
        changed.endMs = performance.now();
        resolve();
      };
      const request = http.get(`${callerUrl}/${SERVICE}/item`, { headers, agent });
      request.once('error', end);
      request.once('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('error', () => undefined);
        response.on('data', (chunk: Buffer) => {
          chunks.push(chunk);
          response.pause();
          setTimeout(() => response.resume(), chunk.length / READ_RATE);
        });
        response.once('close', () => {
          if (response.complete) SlowReaders.classify(changed, response, Buffer.concat(chunks));
          end();
        });
      });
    });
  }

  private static classify(
    record: soakTypes.ICallRecord,
    response: http.IncomingMessage,
    body: Buffer,
  ): void {
    const changed = record;
    changed.status = response.statusCode;
    if (response.statusCode === 503) changed.end = 'refused-not-run';
    if (response.statusCode !== 200) return;
    const isOwn = body.toString('latin1') === soakFleet.bodyOf(record.requestId);
    changed.end = isOwn ? 'answered' : 'wrong-answer';
  }
}
