import * as emitter from '../Emitter';
import type * as types from '../Types';
import * as memberRules from './MemberRules';
import type * as membershipTypes from './Types';

/** A member whose heartbeat has not advanced for this long is suspected. */
export const SUSPECTED_AFTER_MS = 5_000;
/** A member whose heartbeat has not advanced for this long is removed. */
export const REMOVED_AFTER_MS = 30_000;
/** Departed addresses stay valid as issuers of request keys for this long. */
export const DEPARTED_KEPT_MS = 600_000;
/**
 * The table is used several times a second. A longer gap means that this process did not run,
 * and then a heartbeat that did not advance says nothing about its member.
 */
const LONGEST_GAP_MS = 2_000;

interface IEntry {
  record: membershipTypes.IMember;
  readonly id: number;
  progressedAtMs: number;
}

interface IDeparted {
  readonly record: membershipTypes.IMember;
  readonly sinceMs: number;
}

/** The daemons of the fleet, as the VM list and the peers report them. This daemon excluded. */
export class MemberTable {
  private readonly changedEmitter = new emitter.Emitter<membershipTypes.IMemberChange>();

  private readonly progressEmitter = new emitter.Emitter<membershipTypes.IMember>();

  private readonly entries = new Map<string, IEntry>();

  private readonly byId = new Map<number, IEntry[]>();

  private readonly departed = new Map<string, IDeparted>();

  private readonly listed = new Map<string, membershipTypes.IListedVm>();

  private listedServers: ReadonlySet<string> = new Set();

  private usedAtMs: number;

  private ownIncarnation = 0;

  /** Fires when a member joins, restarts, changes what it says of itself, or leaves. */
  public readonly onChanged: types.Event<membershipTypes.IMemberChange> = this.changedEmitter.event;

  /** Fires with each record whose heartbeat advanced. */
  public readonly onProgress: types.Event<membershipTypes.IMember> = this.progressEmitter.event;

  public constructor(
    private readonly ownAddress: string,
    private readonly clock: types.IClock,
  ) {
    this.usedAtMs = clock.monotonicMs();
  }

  /** Addresses to exchange with: listed daemons and members, without those that are leaving. */
  public get peers(): readonly string[] {
    const addresses = new Set([...this.listed.keys(), ...this.entries.keys()]);
    return [...addresses].filter((address) => !this.isLeaving(address));
  }

  /** Members whose heartbeat advances and that are not leaving, for example as successors. */
  public get livePeers(): readonly string[] {
    return this.statuses
      .filter(({ state }) => state === 'live')
      .map(({ record }) => record.address);
  }

  /** What is known of each member. */
  public get statuses(): readonly membershipTypes.IMemberStatus[] {
    return [...this.entries.values()].map((entry) => ({
      record: entry.record,
      state: this.stateOf(entry),
      silentMs: this.clock.monotonicMs() - entry.progressedAtMs,
    }));
  }

  /** Members heard of and not removed, this daemon included. */
  public get count(): number {
    return this.entries.size + 1;
  }

  /** Members removed within the last 10 minutes. */
  public get departedAddresses(): readonly string[] {
    return [...this.departed.keys()];
  }

  /** Backend servers that the VM list reports as leaving. */
  public get leavingServers(): ReadonlySet<string> {
    return this.listedServers;
  }

  /** The highest incarnation that a peer reported for the address of this daemon, or 0. */
  public get reportedOwnIncarnation(): number {
    return this.ownIncarnation;
  }

  /** Whether the address belongs to a member, a listed daemon or a recently departed one. */
  public isKnown(address: string): boolean {
    return this.entries.has(address) || this.listed.has(address) || this.departed.has(address);
  }

  /** The record of a member, or undefined. */
  public recordOf(address: string): membershipTypes.IMember | undefined {
    return this.entries.get(address)?.record;
  }

  /** Whether a heartbeat with this identifier belongs to a member. */
  public hasIdentifier(id: number): boolean {
    return this.byId.has(id);
  }

  /** Whether the member's heartbeat advanced within the last 5 s. */
  public isProgressing(address: string): boolean {
    const entry = this.entries.get(address);
    return entry !== undefined && this.silentMs(entry) < SUSPECTED_AFTER_MS;
  }

  /** Takes over the platform's list, which may lag behind what the peers report. */
  public updateList(list: membershipTypes.IVmList): void {
    this.listed.clear();
    list.vms
      .filter(({ role, address }) => role === 'daemon' && address !== this.ownAddress)
      .forEach((vm) => this.listed.set(vm.address, vm));
    this.listedServers = new Set(
      list.vms
        .filter(({ role, state }) => role === 'backend-server' && state === 'leaving')
        .map(({ address }) => address),
    );
  }

  /** Merges a record that a peer sent. */
  public merge(record: membershipTypes.IMember): void {
    this.noticeGap();
    if (record.address === this.ownAddress) {
      this.ownIncarnation = Math.max(this.ownIncarnation, record.incarnation);
      return;
    }
    const known = this.entries.get(record.address);
    if (known === undefined) this.join(record);
    else if (record.incarnation > known.record.incarnation) this.restart(known, record);
    else if (record.incarnation === known.record.incarnation) this.update(known, record);
  }

  /** Merges a heartbeat that a peer sent without the record it belongs to. */
  public mergeHeartbeat(id: number, heartbeat: number): void {
    this.noticeGap();
    const found = this.byId.get(id);
    // Two members with the same identifier cannot be told apart; their full records still can.
    if (found === undefined || found.length > 1) return;
    const [entry] = found as [IEntry];
    if (heartbeat <= entry.record.heartbeat) return;
    this.progress(entry, { ...entry.record, heartbeat });
  }

  /** Removes the members and the departed addresses whose time is over. */
  public advance(): void {
    this.noticeGap();
    const nowMs = this.clock.monotonicMs();
    this.entries.forEach((entry) => {
      const limitMs = entry.record.leaving ? SUSPECTED_AFTER_MS : REMOVED_AFTER_MS;
      if (this.silentMs(entry) >= limitMs) this.depart(entry);
    });
    this.departed.forEach(({ sinceMs }, address) => {
      if (nowMs - sinceMs >= DEPARTED_KEPT_MS) this.departed.delete(address);
    });
  }

  /** Treats every member as suspected until its heartbeat advances, as after a pause. */
  public markStale(): void {
    const nowMs = this.clock.monotonicMs();
    this.usedAtMs = nowMs;
    this.entries.forEach((entry) => {
      entry.progressedAtMs = nowMs - SUSPECTED_AFTER_MS;
    });
  }

  private noticeGap(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.usedAtMs > LONGEST_GAP_MS) this.markStale();
    this.usedAtMs = nowMs;
  }

  private stateOf(entry: IEntry): membershipTypes.MemberState {
    if (this.isLeaving(entry.record.address)) return 'leaving';
    return this.silentMs(entry) < SUSPECTED_AFTER_MS ? 'live' : 'suspected';
  }

  private silentMs(entry: IEntry): number {
    return this.clock.monotonicMs() - entry.progressedAtMs;
  }

  private isLeaving(address: string): boolean {
    const isReported = this.entries.get(address)?.record.leaving ?? false;
    return isReported || this.listed.get(address)?.state === 'leaving';
  }

  private join(record: membershipTypes.IMember): void {
    const departed = this.departed.get(record.address)?.record;
    if (departed !== undefined && !memberRules.isNewer(record, departed)) return;
    this.departed.delete(record.address);
    this.insert(record);
    this.changedEmitter.fire({ kind: 'joined', record });
  }

  private restart(known: IEntry, record: membershipTypes.IMember): void {
    this.drop(known);
    this.insert(record);
    this.changedEmitter.fire({ kind: 'restarted', record });
  }

  private update(known: IEntry, record: membershipTypes.IMember): void {
    const before = known.record;
    const joined = memberRules.join(before, record);
    if (joined.heartbeat > before.heartbeat) this.progress(known, joined);
    known.record = joined;
    const isSame =
      before.leaving === known.record.leaving && before.tableVersion === known.record.tableVersion;
    if (!isSame) this.changedEmitter.fire({ kind: 'changed', record: known.record });
  }

  private progress(known: IEntry, record: membershipTypes.IMember): void {
    const entry = known;
    entry.record = record;
    entry.progressedAtMs = this.clock.monotonicMs();
    this.progressEmitter.fire(record);
  }

  private depart(entry: IEntry): void {
    const { record } = entry;
    this.drop(entry);
    this.departed.set(record.address, { record, sinceMs: this.clock.monotonicMs() });
    this.changedEmitter.fire({ kind: 'departed', record });
  }

  private insert(record: membershipTypes.IMember): void {
    const id = memberRules.identifierOf(record);
    const entry = { record, id, progressedAtMs: this.clock.monotonicMs() };
    this.entries.set(record.address, entry);
    this.byId.set(id, [...(this.byId.get(id) ?? []), entry]);
    this.progressEmitter.fire(record);
  }

  private drop(entry: IEntry): void {
    this.entries.delete(entry.record.address);
    const rest = (this.byId.get(entry.id) ?? []).filter((other) => other !== entry);
    if (rest.length === 0) this.byId.delete(entry.id);
    else this.byId.set(entry.id, rest);
  }
}
