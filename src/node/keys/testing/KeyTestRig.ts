import * as keyAuthority from '../../../common/keys/KeyAuthority';
import * as manualClock from '../../../common/ManualClock';
import * as seededRandom from '../../../common/SeededRandom';
import * as peer from '../../peer/generated/peer';
import * as keyGateway from '../KeyGateway';
import * as keyHandOver from '../KeyHandOver';
import * as keyPeerHandler from '../KeyPeerHandler';
import type * as types from '../Types';

/** What the simulated network does with a message. */
export type Delivery = 'delivered' | 'request-lost' | 'reply-lost';

/** Daemons in one process, and a simulated network between them that can lose messages. */
export class KeyTestRig {
  public readonly clock = new manualClock.ManualClock();

  /** Successors by issuer name, as the fact `keys-moved` announces them. */
  public readonly moved = new Map<string, string>();

  public readonly departed = new Set<string>();

  /** Addresses to which a message was sent, in order. */
  public readonly contacted: string[] = [];

  /** Decides what happens to each message. */
  public deliver: (method: string, address: string) => Delivery = () => 'delivered';

  private readonly handlers = new Map<string, types.IKeyPeerHandler>();

  private readonly random = new seededRandom.SeededRandom(7);

  private readonly peers: types.IKeyPeers = {
    claimKey: (address, request) => {
      const message = peer.ClaimKeyRequest.decode(peer.ClaimKeyRequest.encode(request).finish());
      return this.send('claimKey', address, (handler) => handler.claimKey(message));
    },
    completeKey: (address, request) => {
      const bytes = peer.CompleteKeyRequest.encode(request).finish();
      const message = peer.CompleteKeyRequest.decode(bytes);
      return this.send('completeKey', address, (handler) => handler.completeKey(message));
    },
    handOverKeys: (address, request) => {
      const bytes = peer.HandOverKeysRequest.encode(request).finish();
      const message = peer.HandOverKeysRequest.decode(bytes);
      return this.send('handOverKeys', address, (handler) => handler.handOverKeys(message));
    },
  };

  /** Starts a daemon at `10.0.0.NUMBER:7000`. A second one at the address replaces the first. */
  public start(number: number, incarnation = number) {
    const address = `10.0.0.${number}:7000`;
    const secret = Buffer.alloc(32, incarnation);
    const authority = new keyAuthority.KeyAuthority({ address, incarnation }, secret, this.clock);
    this.handlers.set(address, new keyPeerHandler.KeyPeerHandler(authority));
    const issuers = {
      isKnown: (known: string) => this.handlers.has(known) || this.departed.has(known),
      successorOf: (name: string) => this.moved.get(name),
    };
    const { peers, clock, random } = this;
    return {
      address,
      incarnation,
      authority,
      gateway: new keyGateway.KeyGateway(address, authority, peers, issuers, clock, random),
      handOver: new keyHandOver.KeyHandOver(authority, peers, clock, random),
    };
  }

  public stop(address: string): void {
    this.handlers.delete(address);
    this.departed.add(address);
  }

  /** Advances the clock until `promise` settles. */
  public async resolve<T>(promise: Promise<T>): Promise<T> {
    let pending = true;
    const done = promise.finally(() => {
      pending = false;
    });
    while (pending) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      this.clock.advance(25);
    }
    return done;
  }

  private async send<T>(
    method: string,
    address: string,
    action: (handler: types.IKeyPeerHandler) => T,
  ): Promise<{ ok: true; value: T } | { ok: false; error: { message: string } }> {
    this.contacted.push(address);
    const delivery = this.deliver(method, address);
    const handler = this.handlers.get(address);
    if (handler === undefined) return { ok: false, error: { message: 'refused' } };
    if (delivery === 'request-lost') return { ok: false, error: { message: 'lost' } };
    const value = action(handler);
    if (delivery === 'reply-lost') return { ok: false, error: { message: 'lost' } };
    return { ok: true, value };
  }
}
