import * as emitter from '../Emitter';
import * as ejector from '../policy/Ejector';
import type * as serverState from '../policy/ServerState';
import type * as policyTypes from '../policy/Types';
import type * as serverRestraints from '../restraint/ServerRestraints';
import type * as restraintTypes from '../restraint/Types';
import type * as types from '../Types';
import * as serverAvailability from './ServerAvailability';

/** Why a server gets no new work. */
export type AvoidanceReason =
  'weight-zero' | 'ejected' | 'connection-limit' | restraintTypes.Restraint;

/**
 * Decides which servers of one service get new work. Selection, retries, hedges, queued calls and
 * checks all ask it. Of several reasons the first one is given:
 *
 * | Reason | Stated by | Known to | Ends |
 * | --- | --- | --- | --- |
 * | `weight-zero` | the table | all daemons | with a later table |
 * | `leaving` | the server, a peer that it told, or the list of VMs | all daemons | with the process; without an instance, when the server reports that it is ready |
 * | `paused`, `returning` | the server | this daemon | after the time that it named, and one request |
 * | `limited` | the server | the daemons that it told | with the next permit, or the limit |
 * | `cold` | the server, or its registration | all daemons | with the next permit, or when it is warm |
 * | `ejected` | failures that this daemon or a peer saw | this daemon; a peer's report only makes it suspicious | after a time that doubles |
 * | `connection-limit` | this daemon | this daemon | when a request ends |
 *
 * Nobody overrides what a server has stated for its process, not even the directory. A restart of
 * the daemon forgets all of it; leaving comes back from the peers, the rest with the next response.
 */
export class ServerEligibility {
  private readonly availability = new Map<string, serverAvailability.ServerAvailability>();

  private readonly ejector: ejector.Ejector;

  private readonly drainingEmitter = new emitter.Emitter<string>();

  /** Fires with the address of a server that this daemon finds draining; shared with peers. */
  public readonly onDraining: types.Event<string> = this.drainingEmitter.event;

  /** Fires when this daemon ejects a server for failures that it observed; shared with peers. */
  public readonly onEjected: types.Event<ejector.IEjection>;

  /**
   * @param ejectsServers Whether failing servers are ejected. False for benchmark baselines.
   * @param restraints What servers state about the requests that they want, if they do.
   */
  public constructor(
    private readonly clock: types.IClock,
    private readonly ejectsServers: boolean,
    private readonly restraints?: serverRestraints.ServerRestraints,
  ) {
    this.ejector = new ejector.Ejector(clock);
    this.onEjected = this.ejector.onEjected;
  }

  /** Forgets all servers but these. */
  public retain(addresses: ReadonlySet<string>): void {
    [...this.availability.keys()]
      .filter((address) => !addresses.has(address))
      .forEach((address) => this.availability.delete(address));
    this.ejector.setServers([...addresses]);
  }

  /**
   * Adds a server process, or replaces an earlier one at the address.
   * @param isNew Whether it has just started, so that its load has to rise slowly.
   */
  public add(address: string, isNew: boolean): void {
    this.availability.set(address, new serverAvailability.ServerAvailability(this.clock));
    if (isNew) this.ejector.startWarmUp(address);
  }

  /**
   * Returns why a server gets no new work, or undefined if it is available.
   * @param connectionLimit Requests that this daemon may have in progress there.
   */
  public avoidanceOf(
    server: serverState.ServerState,
    connectionLimit: number,
  ): AvoidanceReason | undefined {
    const { address } = server;
    const availability = this.availability.get(address);
    if (availability === undefined || server.weight === 0) return 'weight-zero';
    if (availability.isLeaving) return 'leaving';
    const restraint = this.restraintOf(server);
    if (restraint !== undefined) return restraint;
    if (this.ejector.isEjected(address)) return 'ejected';
    return server.inFlight >= connectionLimit ? 'connection-limit' : undefined;
  }

  /** Returns what a server has stated about itself that keeps new requests away, or undefined. */
  public restraintOf({
    row,
  }: Pick<serverState.ServerState, 'row'>): restraintTypes.Restraint | undefined {
    return this.restraints?.restraintOf(row);
  }

  /**
   * Whether a request may still be sent: the server has not stated, since it was selected, that it
   * leaves, wants a pause or is cold, and the table has not taken its weight away.
   * @param startedMs Monotonic time of `recordStart`.
   */
  public mayStart({ row }: serverState.ServerState, startedMs: number): boolean {
    const isLeaving = this.availability.get(row.address)?.isLeaving === true;
    return row.weight > 0 && !isLeaving && (this.restraints?.mayStart(row, startedMs) ?? true);
  }

  /** Whether a server that gets no requests because of its limit should be checked. */
  public isRecheckDue({ row }: serverState.ServerState): boolean {
    return this.restraints?.isRecheckDue(row) === true;
  }

  /**
   * Returns the delay after which callers may return if all these servers have asked for fewer
   * requests, in milliseconds, or undefined if one of them has not.
   */
  public retryDelayMs(servers: readonly serverState.ServerState[]): number | undefined {
    return this.restraints?.retryDelayMs(servers.map(({ row }) => row));
  }

  /** Returns the fraction of the normal load intended for a server, in (0, 1]. */
  public warmthOf(address: string): number {
    return this.ejector.warmthOf(address);
  }

  /** Records that a request is sent to a server. */
  public recordStart({ row }: serverState.ServerState): void {
    this.restraints?.recordRequest(row);
  }

  /**
   * Records the end of a request, and returns the result that counts for the server.
   * @param isChecked Whether servers are checked before each request.
   */
  public recordEnd(
    server: serverState.ServerState,
    result: policyTypes.AttemptResult,
    isChecked: boolean,
  ): policyTypes.AttemptResult {
    this.restraints?.recordRequestEnd(server.row);
    if (result === 'answered') this.ejector.recordSuccess(server.address);
    // A server that is checked reports when it is full, so that its refusals are no failures.
    const isFailure = result === 'failed' || (result === 'refused' && !isChecked);
    if (isFailure && this.ejectsServers) this.ejector.recordFailure(server.address);
    // A server that asks for a pause has not failed, and works again after it.
    const isPause = result === 'refused' && this.restraintOf(server) === 'paused';
    return isPause ? 'cancelled' : result;
  }

  /** Records that a server reports to be ready. */
  public recordReady(address: string): void {
    if (this.availability.get(address)?.recordReady() === true) this.ejector.startWarmUp(address);
  }

  /** Records a drain signal that this daemon observed itself. */
  public recordDraining(address: string): void {
    if (this.availability.get(address)?.recordDraining() === true) {
      this.drainingEmitter.fire(address);
    }
  }

  /** Records a drain signal that a peer observed. */
  public mergeDraining(address: string): void {
    this.availability.get(address)?.recordDraining();
  }

  /** Records a peer's report that a server refuses work. */
  public mergeRefusing(address: string): void {
    if (this.availability.has(address)) this.ejector.recordPeerReport(address);
  }

  /** Sets the state of a server in the platform's list of VMs. */
  public setListed(address: string, state: 'live' | 'leaving'): void {
    this.availability.get(address)?.setListed(state);
  }
}
