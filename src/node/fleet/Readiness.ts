import type * as gossipAgent from '../../common/membership/GossipAgent';
import * as emitter from '../../common/Emitter';
import type * as tableHolder from '../../common/table/TableHolder';
import type * as types from '../../common/Types';

/** Peers that are asked for their table at the start. */
const STARTUP_PEERS = 3;

/** Asks one peer for its table; resolves when it was taken over, or could not be. */
export interface IPeerExchanger {
  exchangeWith(address: string): Promise<void>;
}

/** The reader of the configuration service, as far as it concerns the start. */
export interface IStartupReads {
  /** Whether table and VM list were each asked for. */
  readonly hasTriedAll: boolean;
  readonly onRead: types.Event<void>;
}

/**
 * Decides when a daemon that has just started may take calls: a table is in force, the
 * configuration service was asked, and so were up to three peers. A source that does not respond
 * counts as asked, so one of them is enough.
 */
export class Readiness implements types.IDisposable {
  private readonly readyEmitter = new emitter.Emitter<void>();

  public readonly onReady: types.Event<void> = this.readyEmitter.event;

  private readonly listeners: types.IDisposable[];

  private hasStartedExchanges = false;

  private hasExchangedWithPeers = false;

  private ready = false;

  public constructor(
    private readonly source: IStartupReads,
    private readonly table: tableHolder.TableHolder,
    private readonly peers: IPeerExchanger,
    private readonly agent: gossipAgent.GossipAgent,
  ) {
    this.listeners = [source.onRead(() => this.update()), table.onAccepted(() => this.update())];
  }

  public get isReady(): boolean {
    return this.ready;
  }

  public dispose(): void {
    this.listeners.forEach((listener) => listener.dispose());
  }

  /** Peers are asked after the VM list was, because it names them. */
  private update(): void {
    if (this.source.hasTriedAll && !this.hasStartedExchanges) {
      this.hasStartedExchanges = true;
      const exchanges = this.agent
        .chooseSome(STARTUP_PEERS)
        .map((address) => this.peers.exchangeWith(address));
      Promise.allSettled(exchanges).then(
        () => {
          this.hasExchangedWithPeers = true;
          this.update();
        },
        () => undefined,
      );
    }
    if (this.ready || !this.hasExchangedWithPeers || this.table.current === undefined) return;
    this.ready = true;
    this.readyEmitter.fire();
  }
}
