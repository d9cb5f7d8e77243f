/** Records that the stand-ins publish, in the platform's format. */

interface IRule {
  readonly prefix: string;
  readonly service?: string;
  readonly split?: readonly { readonly service: string; readonly weight: number }[];
  readonly kind?: string;
  readonly priority?: unknown;
  readonly timeout?: string;
  readonly maxAttempts?: number;
}

/** Host name of all routes. */
export const HOST = 'reads.example';

/**
 * Returns a configuration with the routes of one host.
 * @param warmupPerS Requests a second that a cold server of each service takes.
 */
export function makeConfiguration(
  version: number,
  rules: readonly IRule[],
  warmupPerS?: number,
): unknown {
  const services = rules.flatMap(({ service, split }) =>
    split === undefined ? [service ?? ''] : split.map((part) => part.service),
  );
  return {
    configVersion: version.toString(16).padStart(8, '0'),
    limits: {
      maxHeaderBytes: 2_048,
      maxBodyBytes: 10_000,
      headerTimeout: '3000ms',
      idleTimeout: '15s',
    },
    listeners: [
      {
        host: HOST,
        policy: rules.map((rule) => ({
          name: `route ${rule.prefix}`,
          kind: rule.kind ?? 'idempotent',
          aim: '400ms',
          priority: rule.priority ?? 1,
          match: { prefix: rule.prefix },
          action: {
            service: rule.service,
            split: rule.split,
            timeout: rule.timeout ?? '1200ms',
            maxAttempts: rule.maxAttempts ?? 2,
          },
        })),
      },
    ],
    clusters: [...new Set(services)].map((name) => ({
      name,
      healthPath: '/health',
      maxConns: 220,
      protocol: 'h1',
      tls: false,
      warmupPerS,
    })),
  };
}

/** Returns the registration of a server. */
export function makeServerEntry(
  service: string,
  address: string,
  changes: Readonly<Record<string, unknown>> = {},
): unknown {
  return {
    service,
    address,
    zone: 'a',
    configVersion: 'v1',
    slots: 3,
    state: 'ready',
    warmupLeft: '0ms',
    seq: 1,
    born: 1_700_000_000_000,
    ...changes,
  };
}
