import * as zod from 'zod';

import type * as directoryTypes from '../common/directory/Types';
import * as addresses from '../node/settings/Addresses';
import * as configurationDecoder from './ConfigurationDecoder';
import * as ruleDecoder from './RuleDecoder';
import * as storeRevisions from './StoreRevisions';
import * as wireNames from './WireNames';

const ITEM = zod.object({
  key: zod.string(),
  /** Value in base64; absent if the item was deleted. */
  value: zod.string().optional(),
  /** Revision of its last change. */
  revision: zod.int(),
  deleted: zod.boolean().optional(),
});

/** An item of the store, or the event of its deletion. */
export type IStoreItem = Readonly<zod.infer<typeof ITEM>>;

const COUNT = zod.int().min(1);

/** Maximum number of slots of a server, as in the operators' table. */
const MAX_SLOTS = 10_000;

/** Latest time that a date can have, in Unix milliseconds. */
const MAX_TIME_MS = 8.64e15;

const SERVER = zod.object({
  service: zod.string(),
  address: zod.string().refine(addresses.isAddress, 'expected an IP address and a port'),
  zone: zod.string(),
  // `configVersion` of an entry is the version of the server's software, and is ignored.
  slots: COUNT.max(MAX_SLOTS),
  state: zod.enum(['ready', 'draining']),
  // Time for which the server stays cold, from the moment of the entry.
  warmupLeft: ruleDecoder.DURATION.optional(),
  // Start of the server process in Unix milliseconds.
  born: zod.int().min(0).max(MAX_TIME_MS).optional(),
  seq: zod.int().min(0).optional(),
});

function describeError(error: zod.ZodError): string {
  return error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; ');
}

function textOf(item: IStoreItem): string {
  return Buffer.from(item.value ?? '', 'base64').toString('utf8');
}

function unusableRecord(
  item: IStoreItem,
  problem: string,
  id?: string,
): directoryTypes.DirectoryRecord {
  return { kind: 'unusable', revision: item.revision, key: item.key, id, problem };
}

function decodeConfiguration(item: IStoreItem): directoryTypes.DirectoryRecord {
  if (item.deleted === true) return unusableRecord(item, 'the configuration was removed');
  const decoded = configurationDecoder.decodeConfiguration(textOf(item));
  if (!decoded.ok) {
    const problem = decoded.error.map(({ place, message }) => `${place}: ${message}`).join('; ');
    return unusableRecord(item, problem);
  }
  return { kind: 'configuration', revision: item.revision, configuration: decoded.value };
}

function decodeServer(item: IStoreItem): directoryTypes.DirectoryRecord {
  const id = item.key.slice(wireNames.SERVER_KEY_PREFIX.length);
  if (item.deleted === true) return { kind: 'server-removed', revision: item.revision, id };
  const parsed = SERVER.safeParse(configurationDecoder.parseJson(textOf(item)));
  if (!parsed.success) return unusableRecord(item, describeError(parsed.error), id);
  const { service, address, zone, slots, state, born = 0, seq, warmupLeft } = parsed.data;
  return {
    kind: 'server',
    revision: item.revision,
    server: {
      id,
      service,
      address,
      failureDomain: zone,
      slots,
      state,
      startedAtMs: born,
      sequence: seq,
      coldMs: warmupLeft,
    },
  };
}

function decodeEvacuation(item: IStoreItem): directoryTypes.DirectoryRecord {
  const failureDomain = item.key.slice(wireNames.EVACUATION_KEY_PREFIX.length);
  if (failureDomain === '') return unusableRecord(item, 'the key names no failure domain');
  const isActive = item.deleted !== true;
  return { kind: 'evacuation', revision: item.revision, failureDomain, isActive };
}

/**
 * Decodes items of the store. Ignores keys of other writers.
 * @param state State of the store that the items are from.
 */
export function decodeItems(
  items: readonly unknown[],
  state: storeRevisions.IStoreState,
): directoryTypes.DirectoryRecord[] {
  const { era } = state;
  return items.flatMap((candidate): directoryTypes.DirectoryRecord[] => {
    const parsed = ITEM.safeParse(candidate);
    if (!parsed.success || !storeRevisions.isValid({ era, storeRevision: parsed.data.revision })) {
      const detail = parsed.success ? 'its revision is out of range' : describeError(parsed.error);
      const revision = storeRevisions.toRevision(state);
      const problem = `malformed item: ${detail}`;
      return [{ kind: 'unusable', revision, key: '', id: undefined, problem }];
    }
    const revision = storeRevisions.toRevision({ era, storeRevision: parsed.data.revision });
    const item = { ...parsed.data, revision };
    if (item.key === wireNames.CONFIGURATION_KEY) return [decodeConfiguration(item)];
    if (item.key.startsWith(wireNames.EVACUATION_KEY_PREFIX)) return [decodeEvacuation(item)];
    return item.key.startsWith(wireNames.SERVER_KEY_PREFIX) ? [decodeServer(item)] : [];
  });
}
