import * as yaml from 'yaml';
import * as zod from 'zod';

import type * as types from '../../common/Types';

const ADDRESS = zod
  .string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'expected an IP address and a port');

const SCHEMA = zod.strictObject({
  callerAddress: ADDRESS,
  operatorAddress: ADDRESS,
  peerAddress: ADDRESS,
  failureDomain: zod.string().min(1),
  platformUrl: zod.url({ protocol: /^http$/ }),
  policy: zod.enum(['least-in-flight']).default('least-in-flight'),
  logLevel: zod.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
  metricsAddress: ADDRESS.optional(),
  tracesUrl: zod.url().optional(),
  platformBalancerLagMs: zod.int().min(0).max(120_000).default(5_000),
});

/** Settings of one daemon. Addresses are IP address and port, durations are milliseconds. */
export type Settings = Readonly<zod.infer<typeof SCHEMA>>;

/** One fault of the settings. */
export interface ISettingsProblem {
  /** Path of the setting, as in `logLevel`. */
  readonly path: string;
  readonly message: string;
}

/** Reads settings in YAML. All problems are reported at once. */
export function parseSettings(text: string): types.Result<Settings, readonly ISettingsProblem[]> {
  const document = yaml.parseDocument(text);
  if (document.errors.length > 0) {
    const error = document.errors.map(({ message }) => ({ path: '', message }));
    return { ok: false, error };
  }
  const result = SCHEMA.safeParse(document.toJS() ?? {});
  if (result.success) return { ok: true, value: result.data };
  const error = result.error.issues.map((issue) => ({
    path: issue.path.join('.'),
    message: issue.message,
  }));
  return { ok: false, error };
}
