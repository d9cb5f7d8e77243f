import type * as policyTypes from './Types';

/** Age up to which a reply is reused, in milliseconds; short relative to a server's slow period. */
const REPLY_TTL_MS = 10;

type Listener = (reply: policyTypes.CheckReply) => void;

interface ICachedReply {
  readonly reply: policyTypes.CheckReply;
  readonly atMs: number;
}

/** Cache of check replies, shared by the selections of one service. */
export class CheckReplyCache {
  private readonly entries = new Map<string, ICachedReply>();

  /** Listeners of further selections to the checks under way. */
  private readonly waiting = new Map<string, Listener[]>();

  /** Records that a check of a server begins. Its end is recorded by `set`. */
  public begin(address: string): void {
    this.waiting.set(address, []);
  }

  /** Whether a check of the server is under way. */
  public isPending(address: string): boolean {
    return this.waiting.has(address);
  }

  /**
   * Waits for the reply to a check that is under way.
   * @returns false if there is none.
   */
  public join(address: string, listener: Listener): boolean {
    const listeners = this.waiting.get(address);
    listeners?.push(listener);
    return listeners !== undefined;
  }

  /** Records a reply. Returns the listeners that have joined the check, to be told of it. */
  public set(address: string, reply: policyTypes.CheckReply, atMs: number): readonly Listener[] {
    this.entries.set(address, { reply, atMs });
    const listeners = this.waiting.get(address) ?? [];
    this.waiting.delete(address);
    return listeners;
  }

  /** Replaces the cached reply of a server that has refused a request in spite of it. */
  public recordFull(address: string, report: policyTypes.ILoadReport, atMs: number): void {
    this.entries.set(address, { reply: { kind: 'full', report }, atMs });
  }

  /** Returns the cached reply of a server, or undefined if it has expired. */
  public get(address: string, nowMs: number): policyTypes.CheckReply | undefined {
    const cached = this.entries.get(address);
    if (cached === undefined) return undefined;
    if (nowMs - cached.atMs <= REPLY_TTL_MS) return cached.reply;
    this.entries.delete(address);
    return undefined;
  }
}
