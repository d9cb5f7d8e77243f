import * as keyAuthority from '../src/common/keys/KeyAuthority';
import type * as keyTypes from '../src/common/keys/Types';
import * as manualClock from '../src/common/ManualClock';
import type * as keyProtocol from './KeyProtocol';

/** Outcomes of a claim in the specification. */
export type SpecifiedVerdict = ReturnType<keyProtocol.KeyProtocol['verdictOn']>;

/** Longer than the lifetime of a key, because the authority drops expired records in groups. */
const EXPIRY_MS = keyAuthority.DEFAULT_LIMITS.lifetimeMs + 20_000;
const PROCESS_COUNT = 3;

interface RealProcess {
  readonly clock: manualClock.ManualClock;
  readonly authority: keyAuthority.KeyAuthority;
}

function start(index: number, incarnation: number): RealProcess {
  const clock = new manualClock.ManualClock();
  clock.advance(1_000 * index);
  const issuer = { address: `10.0.0.${index + 1}:7000`, incarnation };
  const secret = Buffer.alloc(32, 10 * index + incarnation);
  return { clock, authority: new keyAuthority.KeyAuthority(issuer, secret, clock) };
}

function toSpecified(verdict: keyTypes.ClaimVerdict): SpecifiedVerdict {
  switch (verdict.kind) {
    case 'granted':
      return 'granted';
    case 'completed':
      return verdict.outcome.kind;
    case 'different-content':
      return 'not-run';
    case 'not-issuer':
      return 'ignored';
    case 'in-progress':
    case 'expired-key':
      return 'unknown';
    default:
      throw new Error(`the specification has no verdict ${verdict.kind}`);
  }
}

/** Processes of the specification, each with a `KeyAuthority` of the product and its own clock. */
export class RealKeyProcesses {
  private readonly processes = Array.from({ length: PROCESS_COUNT }, (_, index) =>
    start(index, index),
  );

  private readonly sent = new Map<number, readonly keyTypes.IKeyTransfer[]>();

  private readonly key: string;

  public constructor() {
    const issued = this.at(0).authority.issue(1);
    if (!issued.ok) throw new Error(issued.error.kind);
    this.key = issued.value[0] as string;
  }

  public claim(process: number, attempt: number, content: number): SpecifiedVerdict {
    const { authority } = this.at(process);
    return toSpecified(authority.claim(this.key, `attempt-${attempt}`, `content-${content}`));
  }

  public complete(process: number, attempt: number, outcome: keyProtocol.Outcome): boolean {
    if (outcome === '') throw new Error('the attempt has sent no completion');
    const recorded =
      outcome === 'answered' ? { kind: outcome, answer: undefined } : { kind: outcome };
    return this.at(process).authority.complete(this.key, `attempt-${attempt}`, recorded);
  }

  public expire(process: number): void {
    this.at(process).clock.advance(EXPIRY_MS);
  }

  /** Issues a key, so that the authority drops expired records. Returns the number that remain. */
  public dropExpired(process: number): number {
    const { authority } = this.at(process);
    authority.issue(1);
    return authority.claimCount;
  }

  public close(process: number): void {
    const { authority } = this.at(process);
    authority.close();
    this.sent.set(process, authority.transfers());
  }

  /** Delivers the hand-over of `from`. Returns the reply, or undefined if the hand-over is empty. */
  public deliverHandOver(from: number, process: number): boolean | undefined {
    const partFields = { part: 0, last: true, successorIncarnation: process };
    const parts = (this.sent.get(from) ?? []).map((transfer) => ({ ...transfer, ...partFields }));
    const replies = parts.map((part) => this.at(process).authority.takeOver(part));
    return replies.length === 0 ? undefined : replies.every(Boolean);
  }

  public restart(process: number): void {
    this.processes[process] = start(process, PROCESS_COUNT + process);
  }

  private at(process: number): RealProcess {
    return this.processes[process] as RealProcess;
  }
}
