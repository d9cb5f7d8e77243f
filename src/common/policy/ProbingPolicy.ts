import type * as types from '../Types';
import * as selectionPolicy from './SelectionPolicy';
import type * as policyTypes from './Types';

const PROBES_PER_CALL = 3;
const POOL_SIZE = 16;
/** Age at which a probe reply is discarded, in milliseconds, as in the Prequal paper. */
const MAX_REPLY_AGE_MS = 1_000;
/** Below this number of usable replies, the selection is random. */
const MIN_POOL_SIZE = 2;
/** Quantile of requests in flight above which a server counts as hot (2 to the power of -0.25). */
const HOT_QUANTILE = 0.84;
const DISTRIBUTION_SIZE = 128;

interface PoolEntry {
  readonly address: string;
  readonly receivedAtMs: number;
  inFlight: number;
  latencyMs: number;
}

/** Implements Prequal: a pool of recent probe replies and a hot/cold rule on load and latency. */
export class ProbingPolicy extends selectionPolicy.SelectionPolicy {
  public readonly name = 'probing';

  private pool: PoolEntry[] = [];

  private readonly recentInFlight: number[] = [];

  private removeOldest = true;

  public constructor(private readonly random: types.IRandom) {
    super();
  }

  public override probeTargets(
    servers: readonly policyTypes.IServerState[],
  ): readonly policyTypes.IServerState[] {
    const rest = [...servers];
    const count = Math.min(PROBES_PER_CALL, rest.length);
    return Array.from({ length: count }, () => {
      const [taken] = rest.splice(this.random.nextInteger(rest.length), 1);
      return taken as policyTypes.IServerState;
    });
  }

  public override recordProbe(server: policyTypes.IServerState, nowMs: number): void {
    const { report } = server;
    if (report === undefined) return;
    const inFlight = report.inFlight + report.queued;
    const latencyMs = server.latencyMs ?? 0;
    this.pool.push({ address: server.address, receivedAtMs: nowMs, inFlight, latencyMs });
    if (this.pool.length > POOL_SIZE) this.pool.shift();
    this.recentInFlight.push(inFlight);
    if (this.recentInFlight.length > DISTRIBUTION_SIZE) this.recentInFlight.shift();
  }

  public choose(
    candidates: readonly policyTypes.IServerState[],
    nowMs: number,
  ): policyTypes.IServerState {
    this.pool = this.pool.filter((entry) => nowMs - entry.receivedAtMs < MAX_REPLY_AGE_MS);
    const byAddress = new Map(candidates.map((server) => [server.address, server]));
    const usable = this.pool.filter((entry) => byAddress.has(entry.address));
    const chosen = usable.length < MIN_POOL_SIZE ? undefined : this.best(usable);
    const server = chosen === undefined ? undefined : byAddress.get(chosen.address);
    if (chosen !== undefined) this.removeUsed(chosen);
    return (
      server ?? (candidates[this.random.nextInteger(candidates.length)] as policyTypes.IServerState)
    );
  }

  private get hotThreshold(): number {
    const sorted = [...this.recentInFlight].sort((left, right) => left - right);
    return sorted[Math.floor(HOT_QUANTILE * (sorted.length - 1))] ?? 0;
  }

  private best(entries: readonly PoolEntry[]): PoolEntry {
    const limit = this.hotThreshold;
    const cold = entries.filter((entry) => entry.inFlight <= limit);
    if (cold.length === 0) {
      return entries.reduce((best, entry) => (entry.inFlight < best.inFlight ? entry : best));
    }
    return cold.reduce((best, entry) => (entry.latencyMs < best.latencyMs ? entry : best));
  }

  /** Removes the used reply, and alternately the oldest or the worst one. */
  private removeUsed(chosen: PoolEntry): void {
    this.pool = this.pool.filter((entry) => entry !== chosen);
    this.pool
      .filter((entry) => entry.address === chosen.address)
      .forEach((entry) => Object.assign(entry, { inFlight: entry.inFlight + 1 }));
    if (this.pool.length <= MIN_POOL_SIZE) return;
    if (this.removeOldest) this.pool.shift();
    else this.removeWorst();
    this.removeOldest = !this.removeOldest;
  }

  private removeWorst(): void {
    const worst = this.pool.reduce((found, entry) =>
      entry.inFlight > found.inFlight ? entry : found,
    );
    this.pool = this.pool.filter((entry) => entry !== worst);
  }
}
