import * as zod from 'zod';

import type * as routingTypes from '../common/routing/Types';
import type * as types from '../common/Types';
import * as ruleDecoder from './RuleDecoder';

/** Version of the configuration, encoded as eight hexadecimal digits. */
const VERSION = zod
  .string()
  .regex(/^[0-9a-f]{8}$/i)
  .transform((text) => Number.parseInt(text, 16));

const POSITIVE = zod.number().positive();
const COUNT = zod.int().min(1);

const CONFIGURATION = zod.object({
  configVersion: VERSION,
  limits: zod.object({
    maxHeaderBytes: POSITIVE,
    maxBodyBytes: POSITIVE,
    headerTimeout: ruleDecoder.DURATION,
    idleTimeout: ruleDecoder.DURATION,
  }),
  // Hosts with their routes.
  listeners: zod.array(zod.object({ host: zod.string(), policy: ruleDecoder.RULES })),
  // Services.
  clusters: zod.array(
    zod.object({
      name: zod.string(),
      healthPath: zod.string(),
      maxConns: COUNT,
      // Requests a second that a cold server takes from all daemons together.
      warmupPerS: POSITIVE.optional(),
    }),
  ),
});

type Content = zod.infer<typeof CONFIGURATION>;

/** An error in a configuration. */
export interface IConfigurationError {
  /** Place of the value, as in `clusters.0.maxConns`; empty for the whole text. */
  readonly place: string;
  readonly message: string;
}

/** Parses JSON; returns undefined, which no schema accepts, for another text. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function toRoute(host: string, rule: ruleDecoder.Rule): routingTypes.IRoute {
  const { service, split, timeout, maxAttempts } = rule.action;
  return {
    name: rule.name,
    host: host.toLowerCase(),
    prefix: rule.match.prefix,
    targets: split ?? [{ service: service ?? '', weight: 1 }],
    idempotent: rule.kind !== 'non_idempotent',
    hasLargeAnswers: rule.kind === 'download',
    priority: rule.priority,
    timeoutMs: timeout,
    objectiveMs: rule.aim,
    maxAttempts,
  };
}

function toConfiguration(content: Content): routingTypes.IConfiguration {
  return {
    version: content.configVersion,
    routes: content.listeners.flatMap(({ host, policy }) =>
      policy.map((rule) => toRoute(host, rule)),
    ),
    services: content.clusters.map(({ name, healthPath, maxConns, warmupPerS }) => ({
      name,
      healthPath,
      maxConnections: maxConns,
      coldRequestsPerSecond: warmupPerS,
    })),
    limits: {
      maxHeaderBytes: content.limits.maxHeaderBytes,
      maxBodyBytes: content.limits.maxBodyBytes,
      headerTimeoutMs: content.limits.headerTimeout,
      idleTimeoutMs: content.limits.idleTimeout,
    },
  };
}

/** Returns the places at which rules name services that the configuration does not have. */
function findUnknownServices({ listeners, clusters }: Content): IConfigurationError[] {
  const names = new Set(clusters.map(({ name }) => name));
  return listeners.flatMap(({ policy }, listener) =>
    policy.flatMap(({ action: { service, split } }, rule) => {
      const action = `listeners.${listener}.policy.${rule}.action`;
      const named =
        split === undefined
          ? [{ place: `${action}.service`, name: service ?? '' }]
          : split.map((part, index) => ({
              place: `${action}.split.${index}.service`,
              name: part.service,
            }));
      return named
        .filter(({ name }) => !names.has(name))
        .map(({ place, name }) => ({
          place,
          message: `a route names the unknown service ${name}`,
        }));
    }),
  );
}

/** Decodes the text of a configuration. Reports all errors at once. */
export function decodeConfiguration(
  text: string,
): types.Result<routingTypes.IConfiguration, readonly IConfigurationError[]> {
  const parsed = CONFIGURATION.safeParse(parseJson(text));
  if (!parsed.success) {
    const error = parsed.error.issues.map(({ path, message }) => ({
      place: path.join('.'),
      message,
    }));
    return { ok: false, error };
  }
  const unknown = findUnknownServices(parsed.data);
  if (unknown.length > 0) return { ok: false, error: unknown };
  return { ok: true, value: toConfiguration(parsed.data) };
}
