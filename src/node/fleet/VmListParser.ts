import * as zod from 'zod';

import type * as membershipTypes from '../../common/membership/Types';
import type * as types from '../../common/Types';

const SCHEMA = zod.object({
  revision: zod.number(),
  vms: zod.array(
    zod.object({
      address: zod.string().min(1),
      role: zod.enum(['daemon', 'backend-server']),
      failureDomain: zod.string(),
      state: zod.enum(['live', 'leaving']),
    }),
  ),
});

/** Parses the platform's list of VMs (JSON). Rejects the whole list if any entry is invalid. */
export function parseVmList(text: string): types.Result<membershipTypes.IVmList, string> {
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch (error) {
    return { ok: false, error: (error as Error).message };
  }
  const result = SCHEMA.safeParse(document);
  if (result.success) return { ok: true, value: result.data };
  return { ok: false, error: zod.prettifyError(result.error) };
}
