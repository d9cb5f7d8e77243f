import type * as callTypes from '../../call/Types';

interface IRecord {
  readonly kind: string;
  /** Time at which the caller sent its first attempt, in milliseconds. */
  readonly startMs: number;
  readonly objectiveMs: number;
}

/** Refusal of one attempt of a caller. */
export interface IRefusal extends IRecord {
  readonly atMs: number;
  /** Time for which a daemon held the attempt, in milliseconds. */
  readonly heldMs: number;
  readonly deadlineMs: number;
  /** Idle slots of all servers at that time. */
  readonly idleSlots: number;
  /** Whether the caller does not return. */
  readonly isFinal: boolean;
  readonly outcome: callTypes.CallOutcome;
}

interface IAnswer extends IRecord {
  readonly delayMs: number;
}

/** What callers of one kind got. */
export interface IKindFigures {
  readonly asked: number;
  /** Fractions of the calls. */
  readonly inTime: number;
  readonly served: number;
}

/** What the callers of a played load got. */
export class LoadResults {
  public readonly answers: IAnswer[] = [];

  public readonly refusals: IRefusal[] = [];

  public recordAnswer(record: IRecord, nowMs: number): void {
    this.answers.push({ ...record, delayMs: nowMs - record.startMs });
  }

  public recordRefusal(refusal: IRefusal): void {
    this.refusals.push(refusal);
  }

  public get finalRefusals(): readonly IRefusal[] {
    return this.refusals.filter(({ isFinal }) => isFinal);
  }

  /**
   * Returns the figures of calls that started within a time.
   * @param kind Undefined for all kinds.
   */
  public figures(kind?: string, fromMs = 0, untilMs = Number.POSITIVE_INFINITY): IKindFigures {
    const isMeant = (record: IRecord) =>
      (kind === undefined || record.kind === kind) &&
      record.startMs >= fromMs &&
      record.startMs < untilMs;
    const answers = this.answers.filter(isMeant);
    const asked = answers.length + this.finalRefusals.filter(isMeant).length;
    const inTime = answers.filter(({ delayMs, objectiveMs }) => delayMs <= objectiveMs).length;
    return {
      asked,
      inTime: asked === 0 ? 1 : inTime / asked,
      served: asked === 0 ? 1 : answers.length / asked,
    };
  }

  /** Returns the lowest fraction of calls of one second that met their objective. */
  public worstSecond(kind: string | undefined, seconds: number): number {
    const each = Array.from({ length: seconds }, (_, second) =>
      this.figures(kind, second * 1_000, (second + 1) * 1_000),
    );
    return Math.min(...each.map(({ inTime }) => inTime));
  }
}
