import * as zod from 'zod';

import * as policyFactory from '../../common/policy/PolicyFactory';
import type * as types from '../../common/Types';
import * as addresses from './Addresses';
import * as problems from './Problems';

const MAX_BALANCER_LAG_MS = 120_000;

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

/**
 * Settings of one daemon. Addresses consist of an IP address and a port. Durations are in
 * milliseconds.
 */
export type Settings = Readonly<zod.infer<typeof SCHEMA>>;

/** Parses settings in YAML. Reports all problems at once, including unknown settings. */
export function parseSettings(
  text: string,
): types.Result<Settings, readonly problems.ISettingsProblem[]> {
  return problems.parseYaml(text, SCHEMA);
}
