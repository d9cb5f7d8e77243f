import * as manualClock from '../ManualClock';
import * as gossipAgent from '../membership/GossipAgent';
import * as factStore from '../membership/FactStore';
import * as messageComposer from '../membership/MessageComposer';
import * as seededRandom from '../SeededRandom';
import * as readSchedule from '../table/ReadSchedule';
import * as tableHolder from '../table/TableHolder';
import type * as types from '../Types';

const LATENCY_MS = 2;

/** Options of a virtual fleet. */
export interface IVirtualFleetOptions {
  readonly size: number;
  readonly seed: number;
  readonly sizeOf?: (message: gossipAgent.IExchangeMessage) => number;
}

/** Daemon of a virtual fleet. */
export interface IVirtualDaemon {
  readonly address: string;
  readonly agent: gossipAgent.GossipAgent;
  readonly table: tableHolder.TableHolder;
  /** Whether its process is running. */
  isUp: boolean;
}

/** Returns an upper bound of the encoded size of a message. */
export function sizeOf(message: gossipAgent.IExchangeMessage): number {
  const memberBytes = message.members.map(messageComposer.sizeOfMember);
  const factBytes = message.facts.map(factStore.sizeOfFact);
  const heartbeatBytes = message.heartbeats.length * messageComposer.HEARTBEAT_BYTES;
  const recordBytes = [...memberBytes, ...factBytes].reduce((sum, bytes) => sum + bytes, 0);
  return messageComposer.EMPTY_MESSAGE_BYTES + heartbeatBytes + recordBytes;
}

export function addressOf(index: number): string {
  return `10.0.${Math.floor(index / 250)}.${(index % 250) + 1}:7000`;
}

/** Simulates a fleet of daemons that exchange messages in memory, on a virtual clock. */
export class VirtualFleet {
  public readonly clock = new manualClock.ManualClock(1_800_000_000_000);

  public readonly daemons: IVirtualDaemon[] = [];

  /** Virtual time of each read of the configuration service, failed ones included. */
  public readonly readsAtMs: number[] = [];

  /** Number of messages and replies sent between daemons, excluding fetches of tables. */
  public messageCount = 0;

  /** Whether a daemon can read the configuration service. */
  public canRead: (daemon: IVirtualDaemon) => boolean = () => true;

  /** Whether a message from one daemon reaches another. */
  public canReach: (from: string, to: string) => boolean = () => true;

  private publishedTable = '';

  private readonly random: types.IRandom;

  private readonly byAddress = new Map<string, IVirtualDaemon>();

  public constructor(private readonly options: IVirtualFleetOptions) {
    this.random = new seededRandom.SeededRandom(options.seed);
    for (let index = 0; index < options.size; index += 1) this.start(addressOf(index));
  }

  public publish(text: string): void {
    this.publishedTable = text;
  }

  /** Starts a daemon. Stops the one that runs at the same address, if any. */
  public start(address: string): IVirtualDaemon {
    const existing = this.byAddress.get(address);
    if (existing !== undefined) this.stop(existing);
    const table = new tableHolder.TableHolder();
    const agent = new gossipAgent.GossipAgent(
      {
        address,
        failureDomain: `region-0-domain-${this.daemons.length % 6}`,
        incarnation: this.clock.wallTime().getTime() * 2_048,
        sizeOf: this.options.sizeOf ?? sizeOf,
        tableState: () => ({
          version: table.current?.version ?? 0,
          hash: table.current?.hash ?? '',
        }),
      },
      this.clock,
      this.random,
    );
    const daemon = { address, agent, table, isUp: true };
    this.daemons.push(daemon);
    this.byAddress.set(address, daemon);
    agent.onUrgent(() =>
      this.clock.setTimer(0, () => this.send(daemon, agent.takeUrgentMessage())),
    );
    this.scheduleExchange(daemon, this.random.next() * gossipAgent.EXCHANGE_INTERVAL_MS);
    const schedule = new readSchedule.ReadSchedule(this.random);
    this.scheduleRead(daemon, schedule, schedule.firstDelayMs(), 0);
    return daemon;
  }

  /** Stops a daemon without informing its peers. */
  public stop(daemon: IVirtualDaemon): void {
    daemon.isUp = false;
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    this.byAddress.delete(daemon.address);
  }

  private scheduleExchange(daemon: IVirtualDaemon, delayMs: number): void {
    this.clock.setTimer(delayMs, () => {
      if (!daemon.isUp) return;
      this.send(daemon, daemon.agent.beginExchange());
      this.scheduleExchange(daemon, gossipAgent.EXCHANGE_INTERVAL_MS);
    });
  }

  /** Reads the table and the VM list alternately, starting with the table. */
  private scheduleRead(
    daemon: IVirtualDaemon,
    schedule: readSchedule.ReadSchedule,
    delayMs: number,
    count: number,
  ): void {
    this.clock.setTimer(delayMs, () => {
      if (!daemon.isUp) return;
      this.readsAtMs.push(this.clock.monotonicMs());
      if (this.canRead(daemon)) this.read(daemon, count % 2 === 0);
      const nextMs = schedule.nextDelayMs(daemon.table.current?.maxDaemons);
      this.scheduleRead(daemon, schedule, nextMs, count + 1);
    });
  }

  private read(daemon: IVirtualDaemon, isTable: boolean): void {
    if (isTable) {
      daemon.table.offer(this.publishedTable);
      return;
    }
    const vms = this.daemons.map(({ address }) => ({
      ...{ address, failureDomain: 'a' },
      ...({ role: 'daemon', state: 'live' } as const),
    }));
    daemon.agent.members.updateVmList({ revision: 1, vms });
  }

  private send(from: IVirtualDaemon, outgoing: gossipAgent.IOutgoingMessage | undefined): void {
    outgoing?.targets.forEach((target) => {
      this.messageCount += 1;
      this.deliver(from.address, target, (to) => {
        const reply = to.agent.receive(outgoing.message);
        this.messageCount += 1;
        this.fetchNewerTable(to, outgoing.message);
        this.deliver(target, from.address, () => {
          from.agent.merge(reply);
          this.fetchNewerTable(from, reply);
        });
      });
    });
  }

  private fetchNewerTable(daemon: IVirtualDaemon, message: gossipAgent.IExchangeMessage): void {
    if (message.table.version <= (daemon.table.current?.version ?? 0)) return;
    this.deliver(daemon.address, message.sender.address, (peer) => {
      const text = peer.table.current?.text ?? '';
      this.deliver(peer.address, daemon.address, () => daemon.table.offer(text));
    });
  }

  private deliver(from: string, to: string, receive: (daemon: IVirtualDaemon) => void): void {
    if (!this.canReach(from, to)) return;
    this.clock.setTimer(LATENCY_MS, () => {
      const daemon = this.byAddress.get(to);
      if (daemon !== undefined) receive(daemon);
    });
  }
}
