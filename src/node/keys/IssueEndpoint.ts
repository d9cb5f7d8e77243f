import * as keyAuthority from '../../common/keys/KeyAuthority';
import type * as keyTypes from '../../common/keys/Types';
import type * as types from './Types';

/** Path at which callers request keys, with the method POST. */
export const ISSUE_PATH = '/.lavenderspar/request-keys';

/** Reply to a request for keys. An `issued` reply is sent as JSON without its `kind`. */
export type IssueReply =
  | {
      readonly kind: 'issued';
      readonly keys: readonly string[];
      /** Time from the issue of the keys to their expiry, in milliseconds. */
      readonly lifetimeMs: number;
    }
  | types.NotRun;

function toRefusal(error: keyTypes.IssueRefusal): types.NotRun {
  switch (error.kind) {
    case 'closed':
      return {
        kind: 'not-run',
        reason: 'shutting-down',
        detail: 'this daemon issues no more keys',
      };
    case 'too-many-claims':
      return { kind: 'not-run', reason: 'overloaded', detail: 'the bound on claims is reached' };
    default: {
      const detail = 'count must be an integer from 1 to 1000';
      return { kind: 'not-run', reason: 'malformed-request', detail };
    }
  }
}

/**
 * Issues keys for `POST /.lavenderspar/request-keys?count=N`.
 * @param countText Value of `count`. One key is issued if it is absent.
 */
export function issueKeys(
  authority: keyAuthority.KeyAuthority,
  countText: string | undefined,
): IssueReply {
  const count = /^\d{1,4}$/.test(countText ?? '1') ? Number(countText ?? 1) : Number.NaN;
  const issued = authority.issue(count);
  if (!issued.ok) return toRefusal(issued.error);
  return { kind: 'issued', keys: issued.value, lifetimeMs: keyAuthority.DEFAULT_LIMITS.lifetimeMs };
}
