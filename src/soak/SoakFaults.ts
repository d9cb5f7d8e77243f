import type * as deployedDaemon from '../platform/testing/DeployedDaemon';
import * as platformServer from '../platform/testing/PlatformServer';
import type * as platformStore from '../platform/testing/PlatformStore';
import * as rateFaults from './RateFaults';
import type * as soakFleet from './SoakFleet';
import type * as soakTypes from './Types';
import * as pauseModule from '../standin/pause';

/** Kind of component that a fault affects. No two concurrent faults affect the same component. */
export type Subject = 'daemon' | 'server' | 'store' | 'configuration' | 'network';

/** A fault that is injected by `begin` and removed by `end`. */
export interface IFault {
  readonly name: string;
  readonly subject: Subject;
  begin(index: number): Promise<void>;
  end(index: number): Promise<void>;
}

/** Time from SIGTERM until callers are sent to other daemons, in milliseconds. */
const BALANCER_DELAY_MS = 1_500;

/** Time for which a draining server continues to serve, in milliseconds. */
const LEAVING_MS = 3_500;

/** Pause that a server asks for, in seconds. */
const PAUSE_S = 1.5;

const DELAY_MS = 120;
const SLOW_MS = 400;

/** Faults of the soak, and a record of when they were active. */
export class SoakFaults {
  public readonly faultIntervals: soakTypes.IFaultInterval[] = [];

  public readonly all: readonly IFault[];

  /** State of servers before a fault, by server index. */
  private readonly savedStates = new Map<number, Partial<platformServer.PlatformServer>>();

  /** @param balancerTargets Indexes of the daemons to which callers are sent. */
  public constructor(
    private readonly fleet: soakFleet.SoakFleet,
    private readonly balancerTargets: Set<number>,
  ) {
    this.all = [
      ...this.daemonFaults(),
      ...this.serverFaults(),
      ...this.statementFaults(),
      ...rateFaults.makeRateFaults(fleet).map((fault) => this.withInterval('server', fault)),
      ...this.storeFaults(),
      ...(['reset', 'silent'] as const).map((kind) => this.networkFault(kind)),
    ];
  }

  private daemonFaults(): IFault[] {
    const { fleet, balancerTargets } = this;
    const childOf = (index: number) =>
      (fleet.daemons[index] as deployedDaemon.DeployedDaemon).child;
    const restart = async (index: number) => {
      await fleet.startDaemon(index);
      balancerTargets.add(index);
    };
    const signal = (name: string, beginSignal: NodeJS.Signals, endSignal: NodeJS.Signals): IFault =>
      this.withInterval('daemon-failure', {
        name,
        subject: 'daemon',
        begin: async (index) => childOf(index).signal(beginSignal),
        end: async (index) => childOf(index).signal(endSignal),
      });
    return [
      signal('daemon paused', 'SIGSTOP', 'SIGCONT'),
      signal('daemon clock steps', 'SIGUSR2', 'SIGUSR2'),
      signal('daemon reloads settings', 'SIGHUP', 'SIGHUP'),
      this.withInterval('daemon-failure', {
        name: 'daemon killed',
        subject: 'daemon',
        begin: (index) => childOf(index).kill(),
        end: restart,
      }),
      this.withInterval('daemon-stop', {
        name: 'daemon shuts down gracefully',
        subject: 'daemon',
        begin: async (index) => {
          childOf(index).signal('SIGTERM');
          setTimeout(() => balancerTargets.delete(index), BALANCER_DELAY_MS);
        },
        end: async (index) => {
          await childOf(index).exited;
          await restart(index);
        },
      }),
    ];
  }

  private serverFaults(): IFault[] {
    const serverOf = (index: number) => this.fleet.servers[index] as soakFleet.ISoakServer;
    const targetFault = (name: string, changes: Partial<platformServer.PlatformServer>): IFault =>
      this.withInterval('server', {
        name,
        subject: 'server',
        begin: async (index) => {
          const { target } = serverOf(index);
          const { answer, workMs, isHealthy, load } = target;
          this.savedStates.set(index, { answer, workMs, isHealthy, load });
          Object.assign(target, changes);
        },
        end: async (index) => {
          Object.assign(serverOf(index).target, this.savedStates.get(index));
        },
      });
    const cut = (kind: 'reset' | 'silent' | 'one-way'): IFault =>
      this.withInterval('server', {
        name: `links to server cut (${kind})`,
        subject: 'server',
        begin: async (index) => serverOf(index).relay.cut('*', kind),
        end: async (index) => serverOf(index).relay.heal('*'),
      });
    const answers = ['shed', 'failed', 'lost', 'foreign', 'mute', 'unsigned'] as const;
    return [
      ...answers.map((answer) => targetFault(`server answers: ${answer}`, { answer })),
      ...(['reset', 'silent', 'one-way'] as const).map(cut),
      targetFault('server slow', { workMs: SLOW_MS }),
      targetFault('server reports unhealthy', { isHealthy: false }),
      targetFault('server omits its load report', { load: undefined, workMs: SLOW_MS }),
      this.withInterval('server', {
        name: 'links to server delayed',
        subject: 'server',
        begin: async (index) => {
          Object.assign(serverOf(index).relay, { delayMs: DELAY_MS });
        },
        end: async (index) => {
          Object.assign(serverOf(index).relay, { delayMs: 0 });
        },
      }),
      this.withInterval('server', {
        name: 'server crashes',
        subject: 'server',
        begin: (index) => serverOf(index).target.close(),
        end: async (index) => {
          await serverOf(index).target.listen(serverOf(index).port);
        },
      }),
      this.withInterval('server', {
        name: 'server drains, and another takes its address',
        subject: 'server',
        begin: async (index) => {
          this.fleet.register(serverOf(index), 'draining');
          await pauseModule.pause(LEAVING_MS);
        },
        end: (index) => this.replaceServer(index),
      }),
    ];
  }

  /** Servers that state that they leave, or that they want fewer requests. */
  private statementFaults(): IFault[] {
    const targetOf = (index: number) => (this.fleet.servers[index] as soakFleet.ISoakServer).target;
    return [
      this.withInterval('server', {
        name: 'server states that it leaves, and another takes its address',
        subject: 'server',
        begin: async (index) => {
          targetOf(index).signals = { [platformServer.SERVER_LEAVING]: '1' };
          await pauseModule.pause(LEAVING_MS);
        },
        end: (index) => this.replaceServer(index),
      }),
      this.withInterval('server', {
        name: 'server asks for pauses',
        subject: 'server',
        begin: async (index) => {
          const signals = { [platformServer.RETRY_AFTER]: `${PAUSE_S}` };
          Object.assign(targetOf(index), { answer: 'shed', signals });
        },
        end: async (index) => {
          Object.assign(targetOf(index), { answer: 'signed', signals: {} });
        },
      }),
    ];
  }

  private networkFault(kind: 'reset' | 'silent'): IFault {
    const { servers } = this.fleet;
    return this.withInterval('network', {
      name: `links to all servers cut (${kind})`,
      subject: 'network',
      begin: async () => servers.forEach(({ relay }) => relay.cut('*', kind)),
      end: async () => servers.forEach(({ relay }) => relay.heal('*')),
    });
  }

  /** Ends the process of a server, and starts another one at its address. */
  private async replaceServer(index: number): Promise<void> {
    const server = this.fleet.servers[index] as soakFleet.ISoakServer;
    this.fleet.store.remove(`servers/${server.target.id}`);
    await server.target.close();
    Object.assign(server.target, { id: `${server.target.id}-next`, signals: {} });
    await server.target.listen(server.port);
    this.fleet.register(server);
  }

  private storeFaults(): IFault[] {
    const { fleet } = this;
    const storeFault = (fault: platformStore.StoreFault): IFault =>
      this.withInterval('store', {
        name: `store ${fault}`,
        subject: 'store',
        begin: async () => {
          Object.assign(fleet.store, { fault });
        },
        end: async () => {
          Object.assign(fleet.store, { fault: 'none' });
        },
      });
    return [
      ...(['busy', 'reset', 'silent', 'deaf'] as const).map(storeFault),
      this.withInterval('store', {
        name: 'links to store cut (silent)',
        subject: 'store',
        begin: async () => fleet.storeRelay?.cut('*', 'silent'),
        end: async () => fleet.storeRelay?.heal('*'),
      }),
      this.withInterval('store', {
        name: 'store compacts its history',
        subject: 'store',
        begin: async () => fleet.store.compact(),
        end: async () => undefined,
      }),
      this.restoredStoreFault(),
      {
        name: 'new configuration',
        subject: 'configuration',
        begin: async () => fleet.publishConfiguration(),
        end: async () => fleet.publishConfiguration(),
      },
    ];
  }

  /** The store loses what is written during the fault. */
  private restoredStoreFault(): IFault {
    const { fleet } = this;
    let copy: platformStore.IStoreCopy | undefined;
    return this.withInterval('store', {
      name: 'store restored from a copy',
      subject: 'store',
      begin: async () => {
        copy = fleet.store.copy();
        fleet.publishConfiguration();
      },
      end: async () => {
        if (copy !== undefined) fleet.restoreStore(copy);
      },
    });
  }

  /** Records the interval of a fault, up to the time when `end` has completed. */
  private withInterval(kind: soakTypes.IFaultInterval['kind'], fault: IFault): IFault {
    const openIntervals = new Map<number, soakTypes.IFaultInterval>();
    return {
      ...fault,
      begin: (index) => {
        const interval = {
          kind,
          componentIndex: index,
          beginMs: performance.now(),
          endMs: Number.POSITIVE_INFINITY,
        };
        openIntervals.set(index, interval);
        this.faultIntervals.push(interval);
        return fault.begin(index);
      },
      end: async (index) => {
        await fault.end(index);
        Object.assign(openIntervals.get(index) ?? {}, { endMs: performance.now() });
      },
    };
  }
}
