import * as zod from 'zod';

import * as durations from '../../common/Durations';
import type * as restraintTypes from '../../common/restraint/Types';
import type * as types from '../../common/Types';
import * as addresses from './Addresses';
import * as problems from './Problems';

const ADDRESS = zod
  .string()
  .refine((text) => addresses.isAddress(text), 'expected an IP address and a port');

const DURATION_MS = zod.string().transform((text, context) => {
  const durationMs = durations.parseDuration(text);
  if (durationMs !== undefined) return durationMs;
  context.addIssue({ code: 'custom', message: 'expected a duration such as 1500ms or 2s' });
  return zod.NEVER;
});

/** Default of `changeDeadline`, in milliseconds. */
const DEFAULT_CHANGE_DEADLINE_MS = 2_000;

/** Default of `answerReadTimeout`, in milliseconds. */
const DEFAULT_ANSWER_READ_MS = 60_000;

const POSITIVE = zod.number().min(1);

const SCHEMA = zod.strictObject({
  callerAddress: ADDRESS,
  readinessAddress: ADDRESS,
  readinessPath: zod.string().startsWith('/'),
  peerAddress: ADDRESS,
  failureDomain: zod.string().min(1).max(63),
  directoryUrl: zod.url({ protocol: /^http$/, error: 'expected an http URL' }),
  seedPeers: zod.array(ADDRESS),
  /** Time within which a change of the directory must be active. */
  changeDeadline: DURATION_MS.default(DEFAULT_CHANGE_DEADLINE_MS),
  /** Time from the stop signal until the process is killed. */
  stopGrace: DURATION_MS,
  retryFraction: zod.number().min(0).max(1),
  /** Retries per window and service that the whole fleet may send beyond `retryFraction`. */
  retryAllowance: zod.number().min(0),
  retryWindow: DURATION_MS,
  checksPerSecond: zod.number().min(0),
  /**
   * Bound on the requests that a cold server gets in any one second, from all daemons together: this
   * factor on the rate that it takes while it is cold. Without it, such requests are not bounded.
   */
  coldRateFactor: zod.number().min(0).optional(),
  /** Requests beside these. */
  coldRateAllowance: zod.number().min(0).optional(),
  /** Memory of the VM in megabytes. By default that which the operating system reports. */
  memoryMb: POSITIVE.nullish(),
  /** Capacity of the VM's link. Large bodies leave a part of it to others. Without it, they do not. */
  linkMegabitsPerSecond: zod.number().positive().nullish(),
  /** Descriptors of the process, of which 200 are for files. */
  maxDescriptors: POSITIVE.nullish(),
  /** Limit on the connections of one IP address. By default there is none. */
  connectionsPerClient: POSITIVE.nullish(),
  /** Time in which a caller must take a byte of an answer that waits for it. */
  answerReadTimeout: DURATION_MS.default(DEFAULT_ANSWER_READ_MS),
  logLevel: zod.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
});

/**
 * Settings of a daemon that reads routes and servers from a directory. Addresses are IP address and
 * port. Durations are written with their unit, as in `1500ms` or `2s`, and held in milliseconds.
 */
export type RoutedSettings = Readonly<zod.infer<typeof SCHEMA>>;

/** Parses settings in YAML. Reports all problems at once. */
export function parseRoutedSettings(
  text: string,
): types.Result<RoutedSettings, readonly problems.ISettingsProblem[]> {
  return problems.parseYaml(text, SCHEMA);
}

/** Returns the bound on the requests to cold servers; undefined if there is none. */
export function coldTermsOf({
  coldRateFactor: rateFactor,
  coldRateAllowance: rateAllowance = 0,
}: RoutedSettings): restraintTypes.IColdTerms | undefined {
  return rateFactor === undefined ? undefined : { rateFactor, rateAllowance };
}
