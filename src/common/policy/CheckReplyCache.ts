import type * as policyTypes from './Types';

/** Age up to which a reply is reused, in milliseconds; short relative to a server's slow period. */
const REPLY_TTL_MS = 10;

interface ICachedReply {
  readonly reply: policyTypes.CheckReply;
  readonly atMs: number;
}

/** Cache of check replies, shared by the selections of one service. */
export class CheckReplyCache {
  private readonly entries = new Map<string, ICachedReply>();

  public set(address: string, reply: policyTypes.CheckReply, atMs: number): void {
    this.entries.set(address, { reply, atMs });
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
