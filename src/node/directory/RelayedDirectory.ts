import * as zod from 'zod';

import type * as directoryTypes from '../../common/directory/Types';
import type * as configurationChanges from '../../common/routing/ConfigurationChanges';
import * as addresses from '../settings/Addresses';
import * as relayedRoutes from './RelayedRoutes';

/** A number that a revision can have: it is sent on to peers, and compared exactly. */
const REVISION = zod.int().min(0);

const COUNT = zod.int().min(1);

const POSITIVE = zod.number().positive();

const DURATION_MS = zod.number().min(0);

const CONFIGURATION = zod.object({
  version: zod.int().min(0),
  routes: relayedRoutes.ROUTES,
  services: zod.array(
    zod.object({
      name: zod.string(),
      healthPath: zod.string(),
      maxConnections: COUNT,
      coldRequestsPerSecond: POSITIVE.optional(),
    }),
  ),
  limits: zod.object({
    maxHeaderBytes: POSITIVE,
    maxBodyBytes: POSITIVE,
    headerTimeoutMs: DURATION_MS,
    idleTimeoutMs: DURATION_MS,
  }),
});

const SERVER = zod.object({
  id: zod.string(),
  service: zod.string(),
  address: zod.string().refine(addresses.isAddress),
  failureDomain: zod.string(),
  slots: COUNT,
  state: zod.enum(['ready', 'draining']),
  startedAtMs: zod.number().min(0),
  sequence: zod.int().min(0).optional(),
  coldMs: DURATION_MS.optional(),
});

const CONFIGURATION_RECORD = zod.object({
  kind: zod.literal('configuration'),
  revision: REVISION,
  configuration: CONFIGURATION,
});

const CONFIGURATION_CONTENT = zod.discriminatedUnion('kind', [
  CONFIGURATION_RECORD,
  zod.object({
    kind: zod.literal('configuration-changes'),
    revision: REVISION,
    changes: CONFIGURATION.extend({
      baseVersion: zod.int().min(0),
      baseDigest: zod.string(),
      routes: zod.array(
        zod.union([
          zod.object({ from: zod.int().min(0), count: COUNT }),
          zod.object({ added: relayedRoutes.ROUTES }),
        ]),
      ),
    }),
  }),
]);

const RECORD = zod.discriminatedUnion('kind', [
  CONFIGURATION_RECORD,
  zod.object({ kind: zod.literal('server'), revision: REVISION, server: SERVER }),
  zod.object({ kind: zod.literal('server-removed'), revision: REVISION, id: zod.string() }),
  zod.object({
    kind: zod.literal('evacuation'),
    revision: REVISION,
    failureDomain: zod.string(),
    isActive: zod.boolean(),
  }),
]);

/** Each record is checked on its own, so that an unusable one leaves the others. */
const REPLY = zod.object({
  kind: zod.enum(['changes', 'listing']),
  content: zod.object({ records: zod.array(zod.unknown()), revision: REVISION }),
  graceRemainingMs: zod.number().min(0).optional(),
});

const CONFIGURATION_KIND = zod.object({ kind: zod.literal('configuration') });

/** The configuration as sent to a peer: whole, or as changes of the version that the peer has. */
export type ConfigurationContent =
  | directoryTypes.ConfigurationRecord
  | {
      readonly kind: 'configuration-changes';
      readonly revision: number;
      readonly changes: configurationChanges.IConfigurationChanges;
    };

/** Directory, or changes of it, as sent to a peer in gzipped JSON. */
export interface IRelayedDirectory {
  readonly kind: 'changes' | 'listing';
  readonly content: directoryTypes.IDirectoryChanges;
  /**
   * Remaining grace period for servers whose entries expired during an outage of the directory
   * service, in milliseconds. Absent in replies of earlier versions.
   */
  readonly graceRemainingMs?: number | undefined;
}

/** Directory of a peer that was checked. */
export interface IParsedDirectory extends IRelayedDirectory {
  /** Number of records that were left out, because they cannot be used. */
  readonly omitted: number;
}

/**
 * Parses the directory of a peer, which may run another version. Leaves out servers that cannot be
 * used. Throws if the text is malformed, or if its configuration cannot be used.
 */
export function parse(text: string): IParsedDirectory {
  const { kind, content, graceRemainingMs } = REPLY.parse(JSON.parse(text));
  const records = content.records.flatMap((candidate): directoryTypes.DirectoryRecord[] => {
    const parsed = RECORD.safeParse(candidate);
    if (parsed.success) return [parsed.data];
    if (CONFIGURATION_KIND.safeParse(candidate).success) throw parsed.error;
    return [];
  });
  const { revision } = content;
  const omitted = content.records.length - records.length;
  return { kind, content: { records, revision }, graceRemainingMs, omitted };
}

/** Parses a configuration of a peer, or changes of it. Throws if they cannot be used. */
export function parseConfiguration(text: string): ConfigurationContent {
  return CONFIGURATION_CONTENT.parse(JSON.parse(text));
}
