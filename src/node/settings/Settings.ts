import * as yaml from 'yaml';
import * as zod from 'zod';

import * as policyFactory from '../../common/policy/PolicyFactory';
import type * as types from '../../common/Types';
import * as addresses from './Addresses';

const MAX_BALANCER_LAG_MS = 120_000;

/** Longest part of a value that is repeated in a message. */
const MAX_FOUND_LENGTH = 60;

const ADDRESS = zod
  .string()
  .refine((text) => addresses.isAddress(text), 'expected an IP address and a port');

const SCHEMA = zod.strictObject({
  callerAddress: ADDRESS,
  operatorAddress: ADDRESS,
  peerAddress: ADDRESS,
  failureDomain: zod.string().min(1).max(63),
  platformUrl: zod.url({ protocol: /^http$/, error: 'expected an http URL' }),
  policy: zod.enum(policyFactory.POLICY_NAMES).default(policyFactory.DEFAULT_POLICY),
  logLevel: zod.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
  metricsAddress: ADDRESS.optional(),
  tracesUrl: zod.url({ protocol: /^https?$/, error: 'expected an http or https URL' }).optional(),
  tracesSampleFraction: zod.number().min(0).max(1).default(0.01),
  platformBalancerLagMs: zod.int().min(0).max(MAX_BALANCER_LAG_MS).default(5_000),
});

/** Settings of one daemon. Addresses are IP address and port, durations are milliseconds. */
export type Settings = Readonly<zod.infer<typeof SCHEMA>>;

/** One fault of the settings. */
export interface ISettingsProblem {
  /** Path of the setting, as in `logLevel`; empty if the text as a whole is at fault. */
  readonly path: string;
  /** What was expected and what was found. */
  readonly message: string;
}

type Issue = zod.core.$ZodIssue;

function describeFound(values: unknown, path: readonly PropertyKey[]): string {
  const found = path.reduce<unknown>(
    (value, key) => (value as Record<PropertyKey, unknown> | null | undefined)?.[key],
    values,
  );
  if (found === undefined) return 'nothing';
  return JSON.stringify(found).slice(0, MAX_FOUND_LENGTH);
}

function toProblems(issue: Issue, values: unknown): ISettingsProblem[] {
  if (issue.code === 'unrecognized_keys') {
    const known = Object.keys(SCHEMA.shape).join(', ');
    const message = `unknown setting; expected one of ${known}`;
    return issue.keys.map((key) => ({ path: [...issue.path, key].join('.'), message }));
  }
  const expected = issue.message
    .replace(/^Invalid (input|option): /, '')
    .replace(/, received .*$/, '');
  const message = `${expected}, found ${describeFound(values, issue.path)}`;
  return [{ path: issue.path.join('.'), message }];
}

/** Reads settings in YAML. All problems are reported at once. */
export function parseSettings(text: string): types.Result<Settings, readonly ISettingsProblem[]> {
  const document = yaml.parseDocument(text);
  if (document.errors.length > 0) {
    const error = document.errors.map(({ message }) => ({ path: '', message }));
    return { ok: false, error };
  }
  const values: unknown = document.toJS() ?? {};
  const result = SCHEMA.safeParse(values);
  if (result.success) return { ok: true, value: result.data };
  const error = result.error.issues.flatMap((issue) => toProblems(issue, values));
  return { ok: false, error };
}
