import type * as policyTypes from '../policy/Types';
import type * as types from '../Types';

/** Utilization above which a server slows down, and the factor. */
const BUSY_UTILIZATION = 0.8;
const BUSY_FACTOR = 1.7;

/** Number of requests that wait for a slot before further ones are rejected. */
const QUEUE_LENGTH = 4;

/** Behaviour of the servers of a service. */
export interface IServerBehaviour {
  readonly slots: number;
  /** Fraction of the time for which a server is slow, the factor, and the mean length of a spell. */
  readonly slowFraction: number;
  readonly slowFactor: number;
  readonly spellMs: number;
}

interface IRun {
  readonly workMs: number;
  readonly onEnd: (result: 'answered' | 'refused' | 'lost') => void;
  timer: types.IDisposable | undefined;
}

/** Backend server with a few slots on a virtual clock. It turns slow in short spells. */
export class PlacedServer {
  /** Requests that arrived, and those of them that were rejected. */
  public arrivals = 0;

  public rejected = 0;

  public isStopped = false;

  private readonly running = new Set<IRun>();

  private readonly queue: IRun[] = [];

  private isSlow: boolean;

  public constructor(
    private readonly behaviour: IServerBehaviour,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    this.isSlow = random.next() < behaviour.slowFraction;
    this.scheduleSpell();
  }

  public get report(): policyTypes.ILoadReport {
    const slowdown = this.isSlow ? this.behaviour.slowFactor : 1;
    return {
      inFlight: this.running.size,
      queued: this.queue.length,
      draining: false,
      slowdown,
    };
  }

  /** Takes a request, and returns a handle that cancels it. */
  public arrive(workMs: number, onEnd: IRun['onEnd']): types.IDisposable {
    const run: IRun = { workMs, onEnd, timer: undefined };
    if (this.isStopped) {
      onEnd('lost');
      return { dispose: () => undefined };
    }
    this.arrivals += 1;
    if (this.running.size < this.behaviour.slots) this.start(run);
    else if (this.queue.length < QUEUE_LENGTH) this.queue.push(run);
    else {
      this.rejected += 1;
      onEnd('refused');
    }
    return { dispose: () => this.drop(run) };
  }

  /** Accepts a connection, which takes a slot for a moment and waits for it without limit. */
  public accept(durationMs: number, onAccepted: () => void): void {
    const run: IRun = { workMs: durationMs, onEnd: onAccepted, timer: undefined };
    if (this.isStopped) onAccepted();
    else if (this.running.size < this.behaviour.slots) this.start(run);
    else this.queue.push(run);
  }

  /** Ends the process with all requests that it holds. */
  public stop(): void {
    this.isStopped = true;
    const held = [...this.running, ...this.queue];
    held.forEach((run) => run.timer?.dispose());
    this.running.clear();
    this.queue.length = 0;
    held.forEach(({ onEnd }) => onEnd('lost'));
  }

  private start(run: IRun): void {
    const { slots, slowFactor } = this.behaviour;
    this.running.add(run);
    const busy = this.running.size / slots > BUSY_UTILIZATION ? BUSY_FACTOR : 1;
    const durationMs = run.workMs * busy * (this.isSlow ? slowFactor : 1);
    const started = run;
    started.timer = this.clock.setTimer(durationMs, () => {
      this.drop(run);
      run.onEnd('answered');
    });
  }

  private drop(run: IRun): void {
    run.timer?.dispose();
    const index = this.queue.indexOf(run);
    if (index >= 0) this.queue.splice(index, 1);
    if (!this.running.delete(run)) return;
    const next = this.queue.shift();
    if (next !== undefined) this.start(next);
  }

  private scheduleSpell(): void {
    const { slowFraction, spellMs } = this.behaviour;
    if (slowFraction === 0) return;
    const meanMs = this.isSlow ? spellMs : (spellMs * (1 - slowFraction)) / slowFraction;
    this.clock.setTimer(-Math.log(1 - this.random.next()) * meanMs, () => {
      this.isSlow = !this.isSlow;
      this.scheduleSpell();
    });
  }
}
