import * as undici from 'undici';

import type * as types from '../common/Types';
import type * as deployedDaemon from '../platform/testing/DeployedDaemon';
import * as platformRecords from '../platform/testing/PlatformRecords';
import * as wireNames from '../platform/WireNames';
import * as soakFleet from './SoakFleet';
import type * as soakTypes from './Types';

/** Mean time between two calls, in milliseconds. */
const CALL_INTERVAL_MS = 12;

/** Deadline of each call, in milliseconds. */
const DEADLINE_MS = 1_200;

/** Time beyond the deadline after which a caller times out, in milliseconds. */
const TIMEOUT_SLACK_MS = 3_000;

/** Response statuses that guarantee that the request was not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Fraction of the calls that go to the service with idempotent requests. */
const READ_SHARE = 0.6;

/** Calls random daemons over keep-alive connections, which a stopping daemon must close itself. */
export class SoakLoad {
  public readonly calls: soakTypes.ICallRecord[] = [];

  private readonly pools = new Map<number, undici.Pool>();

  private readonly pending = new Set<Promise<void>>();

  private timer: NodeJS.Timeout | undefined;

  private nextId = 1;

  /** @param balancerTargets Indexes of the daemons to which callers are sent. */
  public constructor(
    private readonly fleet: soakFleet.SoakFleet,
    private readonly balancerTargets: ReadonlySet<number>,
    private readonly random: types.IRandom,
  ) {}

  public start(): void {
    this.timer = setTimeout(
      () => {
        this.startCall();
        this.start();
      },
      2 * CALL_INTERVAL_MS * this.random.next(),
    );
  }

  /** Stops the load, and resolves when every call has ended. */
  public async stop(): Promise<void> {
    clearTimeout(this.timer);
    await Promise.all(this.pending);
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  private startCall(): void {
    const numbers = [...this.balancerTargets];
    if (numbers.length === 0) return;
    const daemon = numbers[this.random.nextInteger(numbers.length)] as number;
    const service = this.random.next() < READ_SHARE ? 'reads' : 'orders';
    const startMs = performance.now();
    const record: soakTypes.ICallRecord = {
      requestId: `soak-${this.nextId}`,
      service,
      idempotent: soakFleet.SERVICES.get(service) ?? false,
      daemon,
      startMs,
      endMs: startMs,
      end: 'unknown',
      status: undefined,
    };
    this.nextId += 1;
    this.calls.push(record);
    const done = this.send(record).finally(() => this.pending.delete(done));
    this.pending.add(done);
  }

  private async send(record: soakTypes.ICallRecord): Promise<void> {
    const { requestId, service, idempotent, daemon } = record;
    const changed = record;
    try {
      const reply = await this.poolOf(daemon).request({
        method: idempotent ? 'GET' : 'POST',
        path: `/${service}/item`,
        headers: {
          host: platformRecords.HOST,
          [wireNames.REQUEST_ID]: requestId,
          [wireNames.REQUEST_DEADLINE]: `${DEADLINE_MS}`,
        },
        body: idempotent ? null : `order ${requestId}`,
        headersTimeout: DEADLINE_MS + TIMEOUT_SLACK_MS,
        bodyTimeout: DEADLINE_MS + TIMEOUT_SLACK_MS,
      });
      const text = await reply.body.text();
      changed.status = reply.statusCode;
      changed.end = SoakLoad.classify(requestId, reply.statusCode, reply.headers, text);
    } catch {
      // The connection ended without a response. The audit decides whether that is a violation.
      changed.end = 'unknown';
    }
    changed.endMs = performance.now();
  }

  private static classify(
    requestId: string,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    text: string,
  ): soakTypes.CallOutcome {
    if (NOT_RUN_STATUSES.has(status)) return 'refused-not-run';
    if (status !== 200) return 'unknown';
    const isOwn =
      headers[wireNames.REQUEST_ID] === requestId && text === soakFleet.bodyOf(requestId);
    return isOwn && headers[wireNames.RESPONSE_SIGNATURE] !== undefined
      ? 'answered'
      : 'wrong-answer';
  }

  private poolOf(daemon: number): undici.Pool {
    const known = this.pools.get(daemon);
    if (known !== undefined) return known;
    const { callerUrl } = this.fleet.daemons[daemon] as deployedDaemon.DeployedDaemon;
    const pool = new undici.Pool(callerUrl, { connections: 16, pipelining: 1 });
    this.pools.set(daemon, pool);
    return pool;
  }
}
