import * as tcpRelay from '../standin/TcpRelay';

/** Ports of a daemon on its own loopback address. */
const CALLER_PORT = 8000;
const OPERATOR_PORT = 8001;
const PEER_PORT = 8002;

/** Port of each backend server on its own loopback address. */
export const BACKEND_PORT = 8080;

/** Last octet of the first address of each kind. */
const FIRST_DAEMON_OCTET = 10;
const FIRST_BIND_OCTET = 60;
const FIRST_BACKEND_OCTET = 110;

/**
 * Returns the loopback subnet of a test, derived from the process ID, so that concurrent tests do
 * not share addresses and a restarted process finds its address free.
 */
function subnet(): string {
  const { pid } = process;
  return `127.${1 + (Math.floor(pid / 250) % 250)}.${1 + (pid % 250)}`;
}

/** Network between the daemons of a test, whose links can be cut and healed. */
export class TestNetwork {
  private readonly relays: tcpRelay.TcpRelay[] = [];

  public constructor(private readonly daemons: number) {}

  public async start(): Promise<void> {
    for (let index = 0; index < this.daemons; index += 1) {
      const relay = new tcpRelay.TcpRelay(this.bindAddress(index), PEER_PORT);
      this.relays.push(relay);
      await relay.listen(PEER_PORT, this.address(index));
    }
  }

  public async close(): Promise<void> {
    await Promise.all(this.relays.map((relay) => relay.close()));
  }

  /** Returns the IP address of a daemon. Its relay listens there for peers. */
  public address(index: number): string {
    return `${subnet()}.${FIRST_DAEMON_OCTET + index}`;
  }

  public backendAddress(index: number): string {
    return `${subnet()}.${FIRST_BACKEND_OCTET + index}`;
  }

  /** Returns the addresses in the settings of a daemon, and those of its VM. */
  public addressesOf(index: number) {
    const address = this.address(index);
    return {
      callerAddress: `${address}:${CALLER_PORT}`,
      operatorAddress: `${address}:${OPERATOR_PORT}`,
      peerAddress: `${address}:${PEER_PORT}`,
      vm: { address, bindAddress: this.bindAddress(index) },
    };
  }

  /** Cuts every link between the daemons of `side` and the others. */
  public cut(side: readonly number[], kind: tcpRelay.CutKind = 'reset'): void {
    this.forEachLink((source, target) => {
      if (side.includes(source) === side.includes(target)) return;
      this.relays[target]?.cut(this.address(source), kind);
    });
  }

  public heal(): void {
    this.forEachLink((source, target) => this.relays[target]?.heal(this.address(source)));
  }

  /** Returns the address at which a daemon binds its peer port, behind its relay. */
  private bindAddress(index: number): string {
    return `${subnet()}.${FIRST_BIND_OCTET + index}`;
  }

  private forEachLink(action: (source: number, target: number) => void): void {
    for (let source = 0; source < this.daemons; source += 1) {
      for (let target = 0; target < this.daemons; target += 1) {
        if (source !== target) action(source, target);
      }
    }
  }
}
