import type * as factStore from '../common/membership/FactStore';
import type * as membershipTypes from '../common/membership/Types';
import type * as serverRestraints from '../common/restraint/ServerRestraints';
import type * as restraintTypes from '../common/restraint/Types';
import type * as requestSuspicion from '../common/suspicion/RequestSuspicion';
import type * as suspicionTypes from '../common/suspicion/Types';
import type * as types from '../common/Types';
import type * as serviceSet from './ServiceSet';

/** Lifetime of the facts `draining` and `suspect-request`, in milliseconds. */
const FACT_LIFETIME_MS = 60_000;

/** Interval at which the platform's list of leaving servers is applied, in milliseconds. */
const LEAVING_SERVERS_INTERVAL_MS = 500;

/** Source of the platform's list of leaving servers. */
export interface ILeavingServers {
  readonly leavingServers: ReadonlySet<string>;
}

/** Encodes the process of a server as details of a fact about its address. */
function detailsOf({ instance, startedAtMs }: restraintTypes.IServerProcess): string[] {
  return [instance ?? '', `${startedAtMs ?? ''}`];
}

/** Decodes the process of a server, or returns undefined if the fact is about the address alone. */
function processOf(fact: membershipTypes.IFact): restraintTypes.IServerProcess | undefined {
  const [instance, startedAt] = fact.details;
  if (instance === undefined || startedAt === undefined) return undefined;
  return {
    address: fact.subject,
    instance: instance === '' ? undefined : instance,
    startedAtMs: startedAt === '' ? undefined : Number(startedAt),
  };
}

/** Publishes this daemon's observations as facts to its peers, and applies the facts of peers. */
export class FactExchange implements types.IDisposable {
  private timer: types.IDisposable | undefined;

  private readonly subscriptions: types.IDisposable[];

  public constructor(
    facts: factStore.FactStore,
    private readonly members: ILeavingServers,
    private readonly services: serviceSet.ServiceSet,
    suspicion: requestSuspicion.RequestSuspicion,
    private readonly clock: types.IClock,
    private readonly restraints?: serverRestraints.ServerRestraints,
  ) {
    this.subscriptions = [
      services.onDraining((subject) =>
        facts.record({
          kind: 'draining',
          subject,
          lifetimeMs: FACT_LIFETIME_MS,
          details: [],
        }),
      ),
      suspicion.onLoss((loss) => FactExchange.recordLoss(facts, loss)),
      services.onEjected(({ address, durationMs }) =>
        facts.record({
          kind: 'refusing',
          subject: address,
          lifetimeMs: durationMs,
          details: [],
        }),
      ),
      // A peer may have reported the server as draining before the table listed it.
      services.onServerAdded((address) => {
        const reports = facts.about('draining', address);
        if (reports.some((fact) => processOf(fact) === undefined)) services.mergeDraining(address);
      }),
      facts.onAdded(({ fact }) => {
        if (fact.kind === 'draining') this.mergeDraining(fact);
        if (fact.kind === 'refusing') services.mergeRefusing(fact.subject);
        if (fact.kind !== 'suspect-request') return;
        suspicion.merge({ fingerprint: fact.subject, servers: fact.details }, fact.ageMs);
      }),
    ];
    // Requests are served before the daemon joins the fleet.
    suspicion.suspicions.forEach((loss) => FactExchange.recordLoss(facts, loss));
    if (restraints === undefined) return;
    const leaving = restraints.onLeaving((server) =>
      facts.record({
        kind: 'draining',
        subject: server.address,
        lifetimeMs: FACT_LIFETIME_MS,
        details: detailsOf(server),
      }),
    );
    this.subscriptions.push(leaving);
  }

  /** Applies the platform's list of leaving servers now and periodically. */
  public start(): void {
    this.services.setLeaving(this.members.leavingServers);
    this.timer = this.clock.setTimer(LEAVING_SERVERS_INTERVAL_MS, () => this.start());
  }

  private static recordLoss(
    facts: factStore.FactStore,
    { fingerprint, servers }: suspicionTypes.ISuspicion,
  ): void {
    facts.record({
      kind: 'suspect-request',
      subject: fingerprint,
      lifetimeMs: FACT_LIFETIME_MS,
      details: [...servers],
    });
  }

  private mergeDraining(fact: membershipTypes.IFact): void {
    const server = processOf(fact);
    if (server === undefined) this.services.mergeDraining(fact.subject);
    else this.restraints?.mergeLeaving(server);
  }

  public dispose(): void {
    this.timer?.dispose();
    this.subscriptions.forEach((subscription) => subscription.dispose());
  }
}
