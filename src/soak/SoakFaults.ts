import type * as platformServer from '../platform/testing/PlatformServer';
import type * as platformStore from '../platform/testing/PlatformStore';
import type * as soakFleet from './SoakFleet';
import type * as soakTypes from './Types';
import * as pauseModule from '../standin/pause';

/** What a fault acts on. Faults at the same time never share a subject. */
export type Subject = 'daemon' | 'server' | 'store' | 'configuration';

/** A fault that begins, lasts, and ends. */
export interface IFault {
  readonly name: string;
  readonly subject: Subject;
  begin(index: number): Promise<void>;
  end(index: number): Promise<void>;
}

/** Time after a planned stop began at which callers are sent elsewhere, in milliseconds. */
const BALANCER_DELAY_MS = 1_500;

/** Time that a leaving server goes on serving, in milliseconds. */
const LEAVING_MS = 3_500;

const DELAY_MS = 120;
const SLOW_MS = 400;

/** The faults of the soak, and a record of what they disturbed. */
export class SoakFaults {
  public readonly disturbances: soakTypes.IDisturbance[] = [];

  public readonly all: readonly IFault[];

  /** State of servers before a fault, by number. */
  private readonly before = new Map<number, Partial<platformServer.PlatformServer>>();

  /** @param targets Numbers of the daemons that callers are sent to. */
  public constructor(
    private readonly fleet: soakFleet.SoakFleet,
    private readonly targets: Set<number>,
  ) {
    this.all = [...this.daemonFaults(), ...this.serverFaults(), ...this.storeFaults()];
  }

  private daemonFaults(): IFault[] {
    const { fleet, targets } = this;
    const childOf = (index: number) => (fleet.daemons[index] as soakFleet.ISoakDaemon).child;
    const restart = async (index: number) => {
      await fleet.startDaemon(index);
      targets.add(index);
    };
    const signal = (name: string, first: NodeJS.Signals, last: NodeJS.Signals): IFault =>
      this.disturbing('daemon-failure', {
        name,
        subject: 'daemon',
        begin: async (index) => childOf(index).signal(first),
        end: async (index) => childOf(index).signal(last),
      });
    return [
      signal('daemon paused', 'SIGSTOP', 'SIGCONT'),
      signal('clock of a daemon steps', 'SIGUSR2', 'SIGUSR2'),
      signal('settings of a daemon read again', 'SIGHUP', 'SIGHUP'),
      this.disturbing('daemon-failure', {
        name: 'daemon killed',
        subject: 'daemon',
        begin: (index) => childOf(index).kill(),
        end: restart,
      }),
      this.disturbing('daemon-stop', {
        name: 'daemon stops as planned',
        subject: 'daemon',
        begin: async (index) => {
          childOf(index).signal('SIGTERM');
          setTimeout(() => targets.delete(index), BALANCER_DELAY_MS);
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
    const set = (name: string, changes: Partial<platformServer.PlatformServer>): IFault =>
      this.disturbing('server', {
        name,
        subject: 'server',
        begin: async (index) => {
          const { target } = serverOf(index);
          const { answer, workMs, isHealthy, load } = target;
          this.before.set(index, { answer, workMs, isHealthy, load });
          Object.assign(target, changes);
        },
        end: async (index) => {
          Object.assign(serverOf(index).target, this.before.get(index));
        },
      });
    const cut = (kind: 'reset' | 'silent' | 'one-way'): IFault =>
      this.disturbing('server', {
        name: `links to a server ${kind}`,
        subject: 'server',
        begin: async (index) => serverOf(index).relay.cut('*', kind),
        end: async (index) => serverOf(index).relay.heal('*'),
      });
    const answers = ['shed', 'failed', 'lost', 'foreign', 'mute', 'unsigned'] as const;
    return [
      ...answers.map((answer) => set(`answers of a server: ${answer}`, { answer })),
      ...(['reset', 'silent', 'one-way'] as const).map(cut),
      set('server slow', { workMs: SLOW_MS }),
      set('server says it is unhealthy', { isHealthy: false }),
      set('server tells no load', { load: undefined, workMs: SLOW_MS }),
      this.disturbing('server', {
        name: 'links to a server delayed',
        subject: 'server',
        begin: async (index) => {
          Object.assign(serverOf(index).relay, { delayMs: DELAY_MS });
        },
        end: async (index) => {
          Object.assign(serverOf(index).relay, { delayMs: 0 });
        },
      }),
      this.disturbing('server', {
        name: 'server crashes',
        subject: 'server',
        begin: (index) => serverOf(index).target.close(),
        end: async (index) => {
          await serverOf(index).target.listen(serverOf(index).port);
        },
      }),
      this.disturbing('server', {
        name: 'server leaves, and another takes its address',
        subject: 'server',
        begin: async (index) => {
          this.fleet.register(serverOf(index), 'draining');
          await pauseModule.pause(LEAVING_MS);
        },
        end: async (index) => {
          const server = serverOf(index);
          this.fleet.store.remove(`servers/${server.target.id}`);
          await server.target.close();
          server.target.id = `${server.target.id}-next`;
          await server.target.listen(server.port);
          this.fleet.register(server);
        },
      }),
    ];
  }

  private storeFaults(): IFault[] {
    const { fleet } = this;
    const set = (fault: platformStore.StoreFault): IFault =>
      this.disturbing('store', {
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
      ...(['busy', 'reset', 'silent', 'deaf'] as const).map(set),
      this.disturbing('store', {
        name: 'links to the store silent',
        subject: 'store',
        begin: async () => fleet.storeRelay?.cut('*', 'silent'),
        end: async () => fleet.storeRelay?.heal('*'),
      }),
      this.disturbing('store', {
        name: 'store forgets its history',
        subject: 'store',
        begin: async () => fleet.store.compact(),
        end: async () => undefined,
      }),
      {
        name: 'new configuration',
        subject: 'configuration',
        begin: async () => fleet.publishConfiguration(),
        end: async () => fleet.publishConfiguration(),
      },
    ];
  }

  /** Records the span of a fault, which ends when its end is complete. */
  private disturbing(kind: soakTypes.IDisturbance['kind'], fault: IFault): IFault {
    const open = new Map<number, soakTypes.IDisturbance>();
    return {
      ...fault,
      begin: (index) => {
        const disturbance = {
          kind,
          subject: index,
          beginMs: performance.now(),
          endMs: Number.POSITIVE_INFINITY,
        };
        open.set(index, disturbance);
        this.disturbances.push(disturbance);
        return fault.begin(index);
      },
      end: async (index) => {
        await fault.end(index);
        Object.assign(open.get(index) ?? {}, { endMs: performance.now() });
      },
    };
  }
}
