import type * as gossipAgent from '../../common/membership/GossipAgent';
import * as emitter from '../../common/Emitter';
import type * as tableHolder from '../../common/table/TableHolder';
import type * as types from '../../common/Types';

/** Peers that are asked for their table at the start. */
const PEERS_ASKED = 3;

/** Asks one peer for its table; resolves when it was taken over, or could not be. */
export interface IPeerAsker {
  ask(address: string): Promise<void>;
}

/** The reader of the configuration service, as far as it concerns the start. */
export interface IAskedSource {
  /** Whether table and VM list were each asked for. */
  readonly hasAskedAll: boolean;
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

  private hasBegunAsking = false;

  private hasAskedPeers = false;

  private ready = false;

  public constructor(
    private readonly source: IAskedSource,
    private readonly table: tableHolder.TableHolder,
    private readonly peers: IPeerAsker,
    private readonly agent: gossipAgent.GossipAgent,
  ) {
    this.listeners = [source.onRead(() => this.proceed()), table.onAccepted(() => this.proceed())];
  }

  public get isReady(): boolean {
    return this.ready;
  }

  public dispose(): void {
    this.listeners.forEach((listener) => listener.dispose());
  }

  /** Peers are asked after the VM list was, because it names them. */
  private proceed(): void {
    if (this.source.hasAskedAll && !this.hasBegunAsking) {
      this.hasBegunAsking = true;
      const asked = this.agent.choosePeers(PEERS_ASKED).map((address) => this.peers.ask(address));
      Promise.allSettled(asked).then(
        () => {
          this.hasAskedPeers = true;
          this.proceed();
        },
        () => undefined,
      );
    }
    if (this.ready || !this.hasAskedPeers || this.table.current === undefined) return;
    this.ready = true;
    this.readyEmitter.fire();
  }
}
