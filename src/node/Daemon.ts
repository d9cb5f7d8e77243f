import type * as bunyan from 'bunyan';

import * as callCoordinator from '../common/call/CallCoordinator';
import * as serviceBalancer from '../common/call/ServiceBalancer';
import * as leastInFlightPolicy from '../common/policy/LeastInFlightPolicy';
import * as requestSuspicion from '../common/suspicion/RequestSuspicion';
import type * as tableTypes from '../common/table/Types';
import type * as types from '../common/Types';
import * as httpTransport from './dispatch/HttpTransport';
import * as fleetModule from './fleet/Fleet';
import * as peerClient from './peer/PeerClient';
import * as peerServer from './peer/PeerServer';
import * as callerServer from './server/CallerServer';
import type * as serverTypes from './server/Types';
import type * as settings from './settings/Settings';

function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** One process of the fleet, composed of its services. */
export class Daemon {
  private readonly balancers = new Map<string, serviceBalancer.ServiceBalancer>();

  private readonly transport: httpTransport.HttpTransport;

  private readonly suspicion: requestSuspicion.RequestSuspicion;

  private readonly callers: callerServer.CallerServer;

  private readonly peers: peerServer.PeerServer;

  private readonly peerClient = new peerClient.PeerClient();

  private readonly fleet: fleetModule.Fleet;

  private stopping = false;

  public constructor(
    private readonly options: settings.Settings,
    private readonly logger: bunyan,
    private readonly clock: types.IClock,
    private readonly random: types.IRandom,
  ) {
    this.suspicion = new requestSuspicion.RequestSuspicion(clock);
    this.fleet = new fleetModule.Fleet(options, this.peerClient, logger, clock, random);
    this.transport = new httpTransport.HttpTransport(clock, random);
    const { balancers, fleet } = this;
    const currentPhase = () => this.phase;
    this.callers = new callerServer.CallerServer({
      routes: {
        get table() {
          return fleet.table.current;
        },
        get phase() {
          return currentPhase();
        },
        balancerOf: (service) => balancers.get(service),
      },
      coordinator: new callCoordinator.CallCoordinator(this.transport, this.suspicion, clock),
      observer: {
        onStarted: () => undefined,
        onAnswered: () => undefined,
        onRefused: (record) => logger.debug(record, 'request refused'),
      },
      clock,
    });
    this.peers = new peerServer.PeerServer({
      exchange: (request) => fleet.receiveExchange(request),
      fetchTable: (request) => fleet.replyTable(request),
    });
    fleet.table.onAccepted((accepted) => this.applyTable(accepted));
  }

  private get phase(): serverTypes.Phase {
    if (this.stopping) return 'stopping';
    return this.fleet.isReady ? 'ready' : 'starting';
  }

  public async start(): Promise<void> {
    await this.peers.listen(this.options.peerAddress);
    this.fleet.start();
    const { host, port } = splitAddress(this.options.callerAddress);
    await this.callers.listen(host, port);
    this.logger.info('daemon started');
  }

  /** Finishes the calls in flight, then releases everything. */
  public async stop(): Promise<void> {
    this.stopping = true;
    this.fleet.leave();
    await this.callers.close();
    this.fleet.dispose();
    this.peers.dispose();
    this.peerClient.dispose();
    this.transport.dispose();
  }

  private applyTable(table: tableTypes.ITable): void {
    [...this.balancers.keys()]
      .filter((name) => !table.services.has(name))
      .forEach((name) => this.balancers.delete(name));
    table.services.forEach((service, name) => {
      const balancer =
        this.balancers.get(name) ??
        new serviceBalancer.ServiceBalancer(
          new leastInFlightPolicy.LeastInFlightPolicy(this.random),
          this.clock,
        );
      balancer.update(table, service);
      this.balancers.set(name, balancer);
    });
    this.logger.info({ tableVersion: table.version }, 'table in force');
  }
}
