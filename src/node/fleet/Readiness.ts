import type * as gossipAgent from '../../common/membership/GossipAgent';
import * as emitter from '../../common/Emitter';
import type * as tableHolder from '../../common/table/TableHolder';
import type * as types from '../../common/Types';

/** Number of peers that are asked for their table at startup. */
const STARTUP_PEERS = 3;

/** Exchanges with one peer. Resolves when the exchange and any fetch of its table have ended. */
export interface IPeerExchanger {
  exchangeWith(address: string): Promise<void>;
}

/** Progress of the first reads from the configuration service. */
export interface IStartupReads {
  /** Whether reads of the table and of the VM list have each ended, successfully or not. */
  readonly hasTriedAll: boolean;
  readonly onRead: types.Event<void>;
}

/**
 * Decides when a daemon that has just started may take calls: a table is active, and the
 * configuration service and up to three peers have been asked for theirs. A source that does not
 * respond counts as asked, so one source that responds is enough.
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

  /** Contacts peers once the read of the VM list has ended, because it lists their addresses. */
  private update(): void {
    if (this.source.hasTriedAll && !this.hasStartedExchanges) {
      this.hasStartedExchanges = true;
      const exchanges = this.agent
        .choosePeers(STARTUP_PEERS)
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
