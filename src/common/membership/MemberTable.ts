import * as emitter from '../Emitter';
import type * as types from '../Types';
import * as memberRecords from './MemberRecords';
import type * as membershipTypes from './Types';

/** A member whose heartbeat has not advanced for this long is suspected. */
export const SUSPECTED_AFTER_MS = 5_000;
/** A member whose heartbeat has not advanced for this long is removed. */
export const REMOVED_AFTER_MS = 30_000;
/** Departed addresses are retried, and stay valid as issuers of request keys, for this long. */
export const DEPARTED_RETENTION_MS = 600_000;
/**
 * The table is used several times a second. A longer gap means that this process was paused, and
 * then a heartbeat that did not advance is no evidence that the member failed.
 */
const PAUSE_THRESHOLD_MS = 2_000;

interface IEntry {
  record: membershipTypes.IMember;
  readonly id: number;
  lastHeartbeatAtMs: number;
}

interface IDeparted {
  readonly record: membershipTypes.IMember;
  readonly departedAtMs: number;
}

/** Daemons of the fleet except this one, as reported by the VM list and by peers. */
export class MemberTable {
  private readonly changedEmitter = new emitter.Emitter<membershipTypes.IMemberChange>();

  private readonly heartbeatEmitter = new emitter.Emitter<membershipTypes.IMember>();

  private readonly entries = new Map<string, IEntry>();

  private readonly entriesByHeartbeatId = new Map<number, IEntry[]>();

  private readonly departed = new Map<string, IDeparted>();

  private readonly listedDaemons = new Map<string, membershipTypes.IListedVm>();

  private listedLeavingServers: ReadonlySet<string> = new Set();

  private lastUsedAtMs: number;

  private highestOwnIncarnation = 0;

  /** Fires when a member joins, restarts, is removed, or changes more than its heartbeat. */
  public readonly onChanged: types.Event<membershipTypes.IMemberChange> = this.changedEmitter.event;

  /** Fires with the record of a member whose heartbeat advanced or that is new. */
  public readonly onHeartbeat: types.Event<membershipTypes.IMember> = this.heartbeatEmitter.event;

  public constructor(
    private readonly ownAddress: string,
    private readonly clock: types.IClock,
  ) {
    this.lastUsedAtMs = clock.monotonicMs();
  }

  /** Addresses of listed daemons and members that are not leaving. Exchanges go to these. */
  public get peers(): readonly string[] {
    const addresses = new Set([...this.listedDaemons.keys(), ...this.entries.keys()]);
    return [...addresses].filter((address) => !this.isLeaving(address));
  }

  /** Addresses of members that are neither suspected nor leaving. */
  public get livePeers(): readonly string[] {
    return this.statuses
      .filter(({ state }) => state === 'live')
      .map(({ record }) => record.address);
  }

  /** Record and liveness of each member. */
  public get statuses(): readonly membershipTypes.IMemberStatus[] {
    return [...this.entries.values()].map((entry) => ({
      record: entry.record,
      state: this.stateOf(entry),
      silentMs: this.clock.monotonicMs() - entry.lastHeartbeatAtMs,
    }));
  }

  /** Number of members, this daemon included. */
  public get count(): number {
    return this.entries.size + 1;
  }

  /** Addresses of members removed within the last 10 minutes. */
  public get departedAddresses(): readonly string[] {
    return [...this.departed.keys()];
  }

  /** Addresses of backend servers that the VM list reports as leaving. */
  public get leavingServers(): ReadonlySet<string> {
    return this.listedLeavingServers;
  }

  /** Highest incarnation that a peer reported for the address of this daemon, or 0. */
  public get reportedOwnIncarnation(): number {
    return this.highestOwnIncarnation;
  }

  /** Whether the address belongs to a member, a listed daemon or a recently departed one. */
  public isKnown(address: string): boolean {
    return (
      this.entries.has(address) || this.listedDaemons.has(address) || this.departed.has(address)
    );
  }

  /** Returns the record of a member, or undefined if it is not known. */
  public recordOf(address: string): membershipTypes.IMember | undefined {
    return this.entries.get(address)?.record;
  }

  /** Whether a heartbeat with this identifier belongs to a member. */
  public hasHeartbeatId(id: number): boolean {
    return this.entriesByHeartbeatId.has(id);
  }

  /** Whether the member's heartbeat advanced within the last 5 s. */
  public hasRecentHeartbeat(address: string): boolean {
    const entry = this.entries.get(address);
    return entry !== undefined && this.silentMs(entry) < SUSPECTED_AFTER_MS;
  }

  /** Replaces the VM list, which may lag behind what the peers report. */
  public updateVmList(list: membershipTypes.IVmList): void {
    this.listedDaemons.clear();
    list.vms
      .filter(({ role, address }) => role === 'daemon' && address !== this.ownAddress)
      .forEach((vm) => this.listedDaemons.set(vm.address, vm));
    this.listedLeavingServers = new Set(
      list.vms
        .filter(({ role, state }) => role === 'backend-server' && state === 'leaving')
        .map(({ address }) => address),
    );
  }

  /** Merges a record that a peer sent. */
  public merge(record: membershipTypes.IMember): void {
    this.detectPause();
    if (record.address === this.ownAddress) {
      this.highestOwnIncarnation = Math.max(this.highestOwnIncarnation, record.incarnation);
      return;
    }
    const known = this.entries.get(record.address);
    if (known === undefined) this.addMember(record);
    else if (record.incarnation > known.record.incarnation) this.replaceMember(known, record);
    else if (record.incarnation === known.record.incarnation) this.updateMember(known, record);
  }

  /** Merges a heartbeat that a peer sent without the record it belongs to. */
  public mergeHeartbeat(id: number, heartbeat: number): void {
    this.detectPause();
    const found = this.entriesByHeartbeatId.get(id);
    // Two members with the same id are ambiguous here; only their full records update them.
    if (found === undefined || found.length > 1) return;
    const [entry] = found as [IEntry];
    if (heartbeat <= entry.record.heartbeat) return;
    this.advanceHeartbeat(entry, { ...entry.record, heartbeat });
  }

  /** Removes members whose heartbeat timed out, and expired departed addresses. */
  public removeExpired(): void {
    this.detectPause();
    const nowMs = this.clock.monotonicMs();
    this.entries.forEach((entry) => {
      const limitMs = entry.record.leaving ? SUSPECTED_AFTER_MS : REMOVED_AFTER_MS;
      if (this.silentMs(entry) >= limitMs) this.removeMember(entry);
    });
    this.departed.forEach(({ departedAtMs }, address) => {
      if (nowMs - departedAtMs >= DEPARTED_RETENTION_MS) this.departed.delete(address);
    });
  }

  /** Marks every member as suspected until its heartbeat advances. Used after a pause. */
  public suspectAll(): void {
    const nowMs = this.clock.monotonicMs();
    this.lastUsedAtMs = nowMs;
    this.entries.forEach((entry) => {
      entry.lastHeartbeatAtMs = nowMs - SUSPECTED_AFTER_MS;
    });
  }

  private detectPause(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.lastUsedAtMs > PAUSE_THRESHOLD_MS) this.suspectAll();
    this.lastUsedAtMs = nowMs;
  }

  private stateOf(entry: IEntry): membershipTypes.MemberState {
    if (this.isLeaving(entry.record.address)) return 'leaving';
    return this.silentMs(entry) < SUSPECTED_AFTER_MS ? 'live' : 'suspected';
  }

  private silentMs(entry: IEntry): number {
    return this.clock.monotonicMs() - entry.lastHeartbeatAtMs;
  }

  private isLeaving(address: string): boolean {
    const isReported = this.entries.get(address)?.record.leaving ?? false;
    return isReported || this.listedDaemons.get(address)?.state === 'leaving';
  }

  private addMember(record: membershipTypes.IMember): void {
    const departed = this.departed.get(record.address)?.record;
    if (departed !== undefined && !memberRecords.isNewer(record, departed)) return;
    this.departed.delete(record.address);
    this.insertEntry(record);
    this.changedEmitter.fire({ kind: 'joined', record });
  }

  private replaceMember(known: IEntry, record: membershipTypes.IMember): void {
    this.deleteEntry(known);
    this.insertEntry(record);
    this.changedEmitter.fire({ kind: 'restarted', record });
  }

  private updateMember(known: IEntry, record: membershipTypes.IMember): void {
    const before = known.record;
    const merged = memberRecords.mergeRecords(before, record);
    if (merged.heartbeat > before.heartbeat) this.advanceHeartbeat(known, merged);
    known.record = merged;
    const isSame =
      before.leaving === known.record.leaving && before.tableVersion === known.record.tableVersion;
    if (!isSame) this.changedEmitter.fire({ kind: 'changed', record: known.record });
  }

  private advanceHeartbeat(known: IEntry, record: membershipTypes.IMember): void {
    const entry = known;
    entry.record = record;
    entry.lastHeartbeatAtMs = this.clock.monotonicMs();
    this.heartbeatEmitter.fire(record);
  }

  private removeMember(entry: IEntry): void {
    const { record } = entry;
    this.deleteEntry(entry);
    this.departed.set(record.address, { record, departedAtMs: this.clock.monotonicMs() });
    this.changedEmitter.fire({ kind: 'departed', record });
  }

  private insertEntry(record: membershipTypes.IMember): void {
    const id = memberRecords.heartbeatIdOf(record);
    const entry = { record, id, lastHeartbeatAtMs: this.clock.monotonicMs() };
    this.entries.set(record.address, entry);
    this.entriesByHeartbeatId.set(id, [...(this.entriesByHeartbeatId.get(id) ?? []), entry]);
    this.heartbeatEmitter.fire(record);
  }

  private deleteEntry(entry: IEntry): void {
    this.entries.delete(entry.record.address);
    const rest = (this.entriesByHeartbeatId.get(entry.id) ?? []).filter((other) => other !== entry);
    if (rest.length === 0) this.entriesByHeartbeatId.delete(entry.id);
    else this.entriesByHeartbeatId.set(entry.id, rest);
  }
}
