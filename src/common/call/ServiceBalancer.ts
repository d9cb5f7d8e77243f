import type * as selectionPolicy from '../policy/SelectionPolicy';
import * as serverState from '../policy/ServerState';
import type * as tableTypes from '../table/Types';
import type * as types from '../Types';

/** The state of one service at this daemon, and the choice of its servers. */
export class ServiceBalancer {
  private readonly states = new Map<string, serverState.ServerState>();

  public constructor(
    private readonly policy: selectionPolicy.SelectionPolicy,
    private readonly clock: types.IClock,
  ) {}

  /** The servers of the table in force. */
  public get servers(): readonly serverState.ServerState[] {
    return [...this.states.values()];
  }

  /** Returns the server for the next attempt, or undefined if none may be used. */
  public choose(excluded: ReadonlySet<string>): serverState.ServerState | undefined {
    const candidates = this.servers.filter(
      (server) => this.isUsable(server) && !excluded.has(server.address),
    );
    if (candidates.length === 0) return undefined;
    const chosen = this.policy.choose(candidates, this.clock.monotonicMs());
    return this.states.get(chosen.address);
  }

  /** Takes over the servers of a new table. Known servers keep their estimates. */
  public update(rows: readonly tableTypes.IServerRow[]): void {
    const listed = new Set(rows.map((row) => row.address));
    [...this.states.keys()]
      .filter((address) => !listed.has(address))
      .forEach((address) => this.states.delete(address));
    rows.forEach((row) => {
      const known = this.states.get(row.address);
      if (known === undefined) this.states.set(row.address, new serverState.ServerState(row));
      else known.row = row;
    });
  }

  private isUsable(server: serverState.ServerState): boolean {
    return server.weight > 0 && server.report?.draining !== true;
  }
}
