import type * as membershipTypes from './Types';

/** The daemons of the fleet, as the VM list and the peers report them. */
export class MemberTable {
  private readonly members = new Map<string, membershipTypes.IMember>();

  private readonly listed = new Set<string>();

  public constructor(private readonly ownAddress: string) {}

  /** Addresses of the peers, this daemon excluded. */
  public get peers(): readonly string[] {
    const all = new Set([...this.listed, ...this.members.keys()]);
    all.delete(this.ownAddress);
    return [...all];
  }

  /** What the peers reported of one another, this daemon excluded. */
  public get records(): readonly membershipTypes.IMember[] {
    return [...this.members.values()];
  }

  /** Takes over the daemons of the platform's list. */
  public updateList(list: membershipTypes.IVmList): void {
    this.listed.clear();
    list.vms
      .filter((vm) => vm.role === 'daemon')
      .forEach((vm) => {
        this.listed.add(vm.address);
      });
  }

  /** Merges a record that a peer sent. The newer record of a daemon wins. */
  public merge(record: membershipTypes.IMember): void {
    if (record.address === this.ownAddress) return;
    const known = this.members.get(record.address);
    const isNewer =
      known === undefined ||
      record.incarnation !== known.incarnation ||
      record.heartbeat > known.heartbeat;
    if (isNewer) this.members.set(record.address, record);
  }
}
