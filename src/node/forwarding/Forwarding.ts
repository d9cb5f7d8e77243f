import type * as callCoordinator from '../../common/call/CallCoordinator';
import type * as callTypes from '../../common/call/Types';
import * as helperChoice from '../../common/reach/HelperChoice';
import * as reachProber from '../../common/reach/ReachProber';
import type * as serverReach from '../../common/reach/ServerReach';
import type * as reachTypes from '../../common/reach/Types';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import type * as serverTypes from '../server/Types';
import type * as serviceSet from '../ServiceSet';
import * as callForwarder from './CallForwarder';
import * as forwardHandler from './ForwardHandler';
import * as localCalls from './LocalCalls';
import type * as forwardTypes from './Types';

/** The fleet, as far as it concerns forwarded calls. */
export interface IForwardFleet {
  /** Peers that run and are not stopping. */
  readonly livePeers: readonly reachTypes.IHelper[];
  readonly forwardPeers: forwardTypes.IForwardPeers;
}

/** What forwarding needs of its daemon. */
export interface IForwardingDependencies {
  /** This daemon. */
  readonly own: reachTypes.IHelper;
  readonly daemonState: Pick<serverTypes.IDaemonState, 'table' | 'phase'>;
  readonly services: serviceSet.ServiceSet;
  readonly coordinator: callCoordinator.CallCoordinator;
  readonly reach: serverReach.ServerReach;
  readonly checker: callTypes.IServerChecker;
  /** Takes a permit of the budget of checks, if there is one. */
  readonly takeCheckPermit: () => boolean;
  /** Returns the fleet, or undefined before this daemon has joined it. */
  readonly readFleet: () => IForwardFleet | undefined;
  readonly observer: forwardTypes.IForwardObserver;
  readonly clock: types.IClock;
  readonly random: types.IRandom;
}

/** Runs calls at peers while this daemon does not reach the servers, and those of such peers. */
export class Forwarding implements types.IDisposable {
  /** Runs the calls that peers forward. */
  public readonly handler: forwardHandler.ForwardHandler;

  private readonly local: localCalls.LocalCalls;

  private readonly forwarder: callForwarder.CallForwarder;

  private readonly prober: reachProber.ReachProber;

  public constructor(private readonly dependencies: IForwardingDependencies) {
    const { services, coordinator, reach, clock, random, observer } = dependencies;
    this.local = new localCalls.LocalCalls(services, coordinator, reach);
    const { daemonState, checker, takeCheckPermit } = dependencies;
    this.handler = new forwardHandler.ForwardHandler(daemonState, this.local, reach, clock);
    this.prober = new reachProber.ReachProber(
      reach,
      checker,
      (name) => this.findService(name),
      takeCheckPermit,
      clock,
      random,
    );
    const helpers = new helperChoice.HelperChoice(
      dependencies.own,
      () => dependencies.readFleet()?.livePeers ?? [],
      clock,
      random,
    );
    const peers: forwardTypes.IForwardPeers = {
      forward: (...message) => this.send(...message),
    };
    const takeRetryPermit = (service: string) =>
      services.balancerOf(service)?.takeRetryPermit() ?? false;
    const context = { helpers, peers, observer, takeRetryPermit, clock };
    this.forwarder = new callForwarder.CallForwarder(this.local, reach, context);
  }

  /** Runs a call of a caller. */
  public start(
    call: callTypes.ICall,
    onOutcome: (outcome: callTypes.CallOutcome) => void,
  ): callTypes.IAttempt {
    return this.forwarder.start(call, onOutcome);
  }

  /** Applies a new table. */
  public update(): void {
    const { services, reach } = this.dependencies;
    const rows = [...services.balancers.values()].flatMap(({ states }) =>
      states.map(({ row }) => row),
    );
    reach.setServers(rows);
  }

  public dispose(): void {
    this.prober.dispose();
    this.local.dispose();
    this.dependencies.reach.dispose();
  }

  private send(
    ...[address, request, onReply]: Parameters<forwardTypes.IForwardPeers['forward']>
  ): callTypes.IAttempt {
    const fleet = this.dependencies.readFleet();
    if (fleet !== undefined) return fleet.forwardPeers.forward(address, request, onReply);
    onReply({ kind: 'not-sent', detail: 'the daemon has not joined the fleet' });
    return { cancel: () => undefined };
  }

  private findService(name: string): reachProber.IProbedService | undefined {
    const { services, daemonState } = this.dependencies;
    const healthPath = daemonState.table?.services.get(name)?.healthPath;
    const balancer = services.balancerOf(name);
    if (healthPath === undefined || balancer === undefined) return undefined;
    const servers = balancer.states
      .map(({ row }): tableTypes.IServerRow => row)
      .filter(({ address }) => {
        const reason = balancer.avoidanceOf(address);
        return reason === undefined || reason === 'ejected' || reason === 'connection-limit';
      });
    return { healthPath, servers };
  }
}
