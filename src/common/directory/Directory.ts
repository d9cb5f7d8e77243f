import * as emitter from '../Emitter';
import type * as routingTypes from '../routing/Types';
import type * as types from '../Types';
import * as departures from './Departures';
import * as evacuations from './Evacuations';
import type * as directoryTypes from './Types';

/**
 * Grace period after an outage of the directory service, in milliseconds, during which missing
 * servers are kept unless they were draining. Entries that expired during the outage are registered
 * again within about two seconds.
 */
export const EXPIRY_GRACE_MS = 2_200;

/** Maximum number of tombstones kept. Peers that lack older removals get a full listing. */
const MAX_REMOVALS = 10_000;

interface IEntry {
  readonly server: directoryTypes.IRegistration;
  readonly revision: number;
  /** Whether the entry was removed but is kept until the grace period ends. */
  readonly isExpired: boolean;
}

/**
 * Local copy of the newest published state: the configuration, which never reverts to an older
 * version, and the backend servers. Reads may overlap and arrive out of order; for each item the
 * highest revision wins.
 */
export class Directory implements types.IDisposable {
  private readonly changedEmitter = new emitter.Emitter<void>();

  private readonly problemEmitter = new emitter.Emitter<directoryTypes.IDirectoryProblem>();

  private readonly entries = new Map<string, IEntry>();

  private readonly departures = new departures.Departures();

  private readonly evacuations = new evacuations.Evacuations();

  /** Tombstones: revisions at which servers were removed, in the order of removal. */
  private readonly removals = new Map<string, number>();

  /** Oldest revision from which peers can be sent changes; all later removals are known. */
  private historyStartRevision: number | undefined;

  private activeConfiguration: routingTypes.IConfiguration | undefined;

  private configurationRevision = 0;

  private knownRevision = 0;

  private graceEndMs = Number.NEGATIVE_INFINITY;

  private graceTimer: types.IDisposable | undefined;

  /** Fires when the configuration or a server has changed. */
  public readonly onChanged: types.Event<void> = this.changedEmitter.event;

  /** Fires for each item that is rejected, with the reason. */
  public readonly onProblem: types.Event<directoryTypes.IDirectoryProblem> =
    this.problemEmitter.event;

  public constructor(private readonly clock: types.IClock) {}

  /** The active configuration, or undefined before the first one. */
  public get configuration(): routingTypes.IConfiguration | undefined {
    return this.activeConfiguration;
  }

  /** The active configuration with its revision, as peers get it. */
  public get configurationRecord(): directoryTypes.ConfigurationRecord | undefined {
    const { activeConfiguration: configuration, configurationRevision: revision } = this;
    return configuration && { kind: 'configuration', configuration, revision };
  }

  /** The failure domains whose servers get no requests, by request of operators. */
  public get evacuatedDomains(): ReadonlySet<string> {
    return this.evacuations.active;
  }

  /** The highest revision up to which all changes are applied. */
  public get revision(): number {
    return this.knownRevision;
  }

  /**
   * The usable servers. If two servers have the same address, only the one that started last is
   * returned, because addresses are reassigned to other servers after a while.
   */
  public get servers(): readonly directoryTypes.IRegistration[] {
    const byAddress = new Map<string, IEntry>();
    this.entries.forEach((entry) => {
      const other = byAddress.get(entry.server.address);
      if (other === undefined || Directory.isLater(entry, other)) {
        byAddress.set(entry.server.address, entry);
      }
    });
    return [...byAddress.values()].map(({ server }) => server);
  }

  /** Applies changes, given in the order of their revisions. Known changes have no effect. */
  public apply(records: readonly directoryTypes.DirectoryRecord[], revision: number): void {
    this.historyStartRevision ??= this.knownRevision;
    // The version alone decides whether a configuration is new.
    const newRecords = records.filter(
      (record) => record.kind === 'configuration' || record.revision > this.knownRevision,
    );
    const changed = newRecords.map((record) => this.applyRecord(record)).some(Boolean);
    this.knownRevision = Math.max(this.knownRevision, revision);
    if (changed) this.changedEmitter.fire();
  }

  /**
   * Applies a full listing; servers that it lacks are removed. A listing older than the known
   * revision is ignored: it has nothing new, and may contain servers whose tombstones are dropped.
   */
  public replace(listing: directoryTypes.IDirectoryListing): void {
    const { records, revision } = listing;
    if (revision < this.knownRevision) return;
    if (listing.isRestored === true) this.departures.recordRestored(revision);
    // A listing omits servers that were added and removed before it, so the history starts anew.
    if (revision > this.knownRevision) this.historyStartRevision = revision;
    const listed = new Set(records.map((record) => Directory.idOf(record)));
    const removed = [...this.entries]
      .filter(([id, entry]) => !listed.has(id) && entry.revision <= revision && !entry.isExpired)
      .map(([id]) => this.remove(id, revision));
    const hasReturned = this.evacuations.retain(records, revision);
    const changed = records.map((record) => this.applyRecord(record)).some(Boolean);
    this.knownRevision = Math.max(this.knownRevision, revision);
    if (changed || hasReturned || removed.some(Boolean)) this.changedEmitter.fire();
  }

  /** The whole directory as a listing, for a peer with an older revision. */
  public get listing(): directoryTypes.IDirectoryListing {
    const records: directoryTypes.DirectoryRecord[] = [...this.entries.values()]
      .filter(({ isExpired }) => !isExpired)
      .map(({ server, revision }) => ({ kind: 'server', server, revision }));
    records.push(...this.evacuations.records);
    const { configurationRecord } = this;
    if (configurationRecord !== undefined) records.push(configurationRecord);
    return { records, revision: this.knownRevision };
  }

  /** Returns the changes after `revision`, for a peer; undefined if the history is too short. */
  public changesSince(revision: number): directoryTypes.IDirectoryChanges | undefined {
    if (this.historyStartRevision === undefined || revision < this.historyStartRevision)
      return undefined;
    const removed: directoryTypes.DirectoryRecord[] = [...this.removals].map(([id, removal]) => ({
      kind: 'server-removed',
      id,
      revision: removal,
    }));
    const records = [...this.listing.records, ...removed]
      .filter((record) => record.revision > revision)
      .sort((left, right) => left.revision - right.revision);
    return { records, revision: this.knownRevision };
  }

  /** Time until the grace period ends, in milliseconds; 0 outside of one. */
  public get graceRemainingMs(): number {
    return Math.max(0, this.graceEndMs - this.clock.monotonicMs());
  }

  /**
   * Starts the grace period when the directory service responds again after an outage, or extends
   * the current one.
   */
  public startGracePeriod(durationMs = EXPIRY_GRACE_MS): void {
    if (durationMs <= this.graceRemainingMs) return;
    this.graceEndMs = this.clock.monotonicMs() + durationMs;
    this.graceTimer?.dispose();
    this.graceTimer = this.clock.setTimer(durationMs, () => this.removeExpired());
  }

  public dispose(): void {
    this.graceTimer?.dispose();
  }

  private static isLater(entry: IEntry, other: IEntry): boolean {
    const startDifferenceMs = entry.server.startedAtMs - other.server.startedAtMs;
    return startDifferenceMs > 0 || (startDifferenceMs === 0 && entry.revision > other.revision);
  }

  private static idOf(record: directoryTypes.DirectoryRecord): string | undefined {
    if (record.kind === 'server') return record.server.id;
    return 'id' in record ? record.id : undefined;
  }

  private applyRecord(record: directoryTypes.DirectoryRecord): boolean {
    switch (record.kind) {
      case 'configuration':
        return this.applyConfiguration(record.configuration, record.revision);
      case 'server':
        return this.applyServer(record.server, record.revision);
      case 'server-removed':
        return this.remove(record.id, record.revision);
      case 'evacuation':
        return this.evacuations.apply(record);
      default:
        this.problemEmitter.fire({
          kind: 'unusable-item',
          subject: record.key,
          detail: record.problem,
          revision: record.revision,
        });
        return record.id !== undefined && this.remove(record.id, record.revision, true);
    }
  }

  private applyConfiguration(offered: routingTypes.IConfiguration, revision: number): boolean {
    const { activeConfiguration } = this;
    const activeVersion = activeConfiguration?.version ?? 0;
    if (activeConfiguration !== undefined && offered.version <= activeVersion) {
      if (revision <= this.configurationRevision) return false;
      const isSame = JSON.stringify(offered) === JSON.stringify(activeConfiguration);
      this.configurationRevision = revision;
      if (!isSame) this.reportRejectedConfiguration(offered.version, activeVersion, revision);
      return false;
    }
    this.activeConfiguration = offered;
    this.configurationRevision = Math.max(this.configurationRevision, revision);
    return true;
  }

  private reportRejectedConfiguration(
    offeredVersion: number,
    activeVersion: number,
    revision: number,
  ): void {
    this.problemEmitter.fire({
      kind: offeredVersion === activeVersion ? 'conflicting-configuration' : 'older-configuration',
      subject: `${offeredVersion}`,
      detail: `version ${activeVersion} is active`,
      revision,
    });
  }

  private applyServer(server: directoryTypes.IRegistration, revision: number): boolean {
    const known = this.entries.get(server.id);
    const lastRevision = Math.max(known?.revision ?? 0, this.removals.get(server.id) ?? 0);
    const isReregistered = known?.isExpired === true && revision > known.revision;
    if (revision <= lastRevision && !isReregistered) return false;
    if (this.departures.isOutdated(server)) return this.disregard(server, revision);
    this.removals.delete(server.id);
    this.entries.set(server.id, { server, revision, isExpired: false });
    if (server.state === 'draining') this.departures.record(server, revision);
    else this.departures.forget(server.id);
    return true;
  }

  /** Leaves out a statement of a server that has left meanwhile. Returns that nothing changed. */
  private disregard(server: directoryTypes.IRegistration, revision: number): false {
    const { id: subject, startedAtMs, sequence } = server;
    const detail = `process of ${startedAtMs} has left, statement ${sequence} is older`;
    this.problemEmitter.fire({ kind: 'outdated-server', subject, detail, revision });
    return false;
  }

  /** Returns whether the set of servers changed. */
  private remove(id: string, revision: number, skipsGrace = false): boolean {
    const known = this.entries.get(id);
    if (revision <= (this.removals.get(id) ?? 0) || revision < (known?.revision ?? 0)) return false;
    this.recordRemoval(id, revision);
    if (known === undefined) return false;
    this.departures.record(known.server, revision);
    const isInGrace = this.clock.monotonicMs() < this.graceEndMs;
    if (isInGrace && !skipsGrace && known.server.state === 'ready') {
      this.entries.set(id, { ...known, isExpired: true });
      return false;
    }
    this.entries.delete(id);
    return true;
  }

  private recordRemoval(id: string, revision: number): void {
    this.removals.delete(id);
    this.removals.set(id, revision);
    if (this.removals.size <= MAX_REMOVALS) return;
    const [oldest] = this.removals;
    if (oldest === undefined) return;
    this.removals.delete(oldest[0]);
    this.departures.forget(oldest[0]);
    this.historyStartRevision = Math.max(this.historyStartRevision ?? 0, oldest[1]);
  }

  private removeExpired(): void {
    const expired = [...this.entries].filter(([, entry]) => entry.isExpired);
    expired.forEach(([id]) => this.entries.delete(id));
    if (expired.length > 0) this.changedEmitter.fire();
  }
}
