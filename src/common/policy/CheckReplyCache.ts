import type * as policyTypes from './Types';

/** Age up to which a reply serves further calls, in milliseconds; short beside a slow block. */
const REPLY_TTL_MS = 10;

interface ICachedReply {
  readonly reply: policyTypes.CheckReply;
  readonly atMs: number;
}

/** What selections of one service share. */
export class CheckReplyCache {
  private readonly entries = new Map<string, ICachedReply>();

  public set(address: string, reply: policyTypes.CheckReply, atMs: number): void {
    this.entries.set(address, { reply, atMs });
  }

  /** The reply of a server if it is still fresh. */
  public get(address: string, nowMs: number): policyTypes.CheckReply | undefined {
    const known = this.entries.get(address);
    if (known === undefined) return undefined;
    if (nowMs - known.atMs <= REPLY_TTL_MS) return known.reply;
    this.entries.delete(address);
    return undefined;
  }
}
