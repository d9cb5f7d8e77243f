import * as fastCheck from 'fast-check';

import * as tableHolder from './TableHolder';

const DAEMONS = 5;
const SEED = 20_261_204;

/** `content` is the max_daemons of the table, so the two numbers determine the text. */
interface IPublishedTable {
  readonly version: number;
  readonly content: number;
}

type Step =
  | { readonly kind: 'publish'; readonly version: number; readonly content: number }
  | { readonly kind: 'publish-invalid' }
  | { readonly kind: 'service'; readonly mode: 'up' | 'down' | 'stale' }
  | { readonly kind: 'read'; readonly daemon: number }
  | { readonly kind: 'replace'; readonly daemon: number }
  | { readonly kind: 'exchange'; readonly daemon: number; readonly peer: number }
  | { readonly kind: 'begin-fetch'; readonly daemon: number; readonly peer: number }
  | { readonly kind: 'end-fetches' };

function textOf({ version, content }: IPublishedTable): string {
  return `kind,version,max_daemons\ntable,${version},${content}`;
}

const daemon = fastCheck.nat(DAEMONS - 1);
const step: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constant('publish' as const),
    version: fastCheck.integer({ min: 1, max: 6 }),
    content: fastCheck.integer({ min: 1, max: 2 }),
  }),
  fastCheck.constant({ kind: 'publish-invalid' as const }),
  fastCheck.record({
    kind: fastCheck.constant('service' as const),
    mode: fastCheck.constantFrom('up' as const, 'down' as const, 'stale' as const),
  }),
  fastCheck.record({ kind: fastCheck.constant('read' as const), daemon }),
  fastCheck.record({ kind: fastCheck.constant('replace' as const), daemon }),
  fastCheck.record({ kind: fastCheck.constant('exchange' as const), daemon, peer: daemon }),
  fastCheck.record({ kind: fastCheck.constant('begin-fetch' as const), daemon, peer: daemon }),
  fastCheck.constant({ kind: 'end-fetches' as const }),
);

/** Fake configuration service. A stale one returns the value from when it became stale. */
class ConfigurationService {
  private value: string | undefined;

  private visible: string | undefined;

  private mode: 'up' | 'down' | 'stale' = 'up';

  public publish(text: string): void {
    this.value = text;
    if (this.mode === 'up') this.visible = text;
  }

  public setMode(mode: 'up' | 'down' | 'stale'): void {
    if (mode === 'up') this.visible = this.value;
    this.mode = mode;
  }

  public read(): string | undefined {
    return this.mode === 'down' ? undefined : this.visible;
  }
}

/** Reference model of a holder: keeps the first table of the highest version offered. */
class ReferenceHolder {
  public held: IPublishedTable | undefined;

  public offer(text: string): string {
    const match = /^kind,version,max_daemons\ntable,(\d+),(\d+)$/.exec(text);
    if (match === null) return 'invalid';
    const offered = { version: Number(match[1]), content: Number(match[2]) };
    if (this.held === undefined || offered.version > this.held.version) {
      this.held = offered;
      return 'accepted';
    }
    if (offered.version < this.held.version) return 'older';
    return offered.content === this.held.content ? 'unchanged' : 'conflict';
  }
}

class Simulation {
  private readonly service = new ConfigurationService();

  private holders = Array.from({ length: DAEMONS }, () => new tableHolder.TableHolder());

  private references = Array.from({ length: DAEMONS }, () => new ReferenceHolder());

  private fetches: { daemon: number; holder: tableHolder.TableHolder; text: string }[] = [];

  public apply(change: Step): void {
    if (change.kind === 'publish') this.service.publish(textOf(change));
    else if (change.kind === 'publish-invalid') this.service.publish('kind,version\ntable,x');
    else if (change.kind === 'service') this.service.setMode(change.mode);
    else if (change.kind === 'read') this.offer(change.daemon, this.service.read());
    else if (change.kind === 'replace') this.replace(change.daemon);
    else if (change.kind === 'end-fetches') this.completeFetches();
    else if (change.kind === 'exchange') this.exchange(change.daemon, change.peer, true);
    else this.exchange(change.daemon, change.peer, false);
    this.check();
  }

  private offer(index: number, text: string | undefined): void {
    if (text === undefined) return;
    const before = this.holders[index]?.current?.version ?? 0;
    const kind = this.holders[index]?.offer(text).kind;
    expect(kind).toBe(this.references[index]?.offer(text));
    expect(this.holders[index]?.current?.version ?? 0).toBeGreaterThanOrEqual(before);
  }

  private replace(index: number): void {
    this.holders[index] = new tableHolder.TableHolder();
    this.references[index] = new ReferenceHolder();
  }

  private exchange(index: number, peer: number, isImmediate: boolean): void {
    const peerTable = this.holders[peer]?.current;
    const holder = this.holders[index] as tableHolder.TableHolder;
    if (peerTable === undefined || peerTable.version <= (holder.current?.version ?? 0)) return;
    if (isImmediate) this.offer(index, peerTable.text);
    else this.fetches.push({ daemon: index, holder, text: peerTable.text });
  }

  /** Delivers fetched tables late and in reverse order, except to daemons replaced meanwhile. */
  private completeFetches(): void {
    this.fetches
      .reverse()
      .filter((fetch) => this.holders[fetch.daemon] === fetch.holder)
      .forEach((fetch) => this.offer(fetch.daemon, fetch.text));
    this.fetches = [];
  }

  private check(): void {
    const held = (index: number) => {
      const table = this.holders[index]?.current;
      return table && { version: table.version, content: table.maxDaemons };
    };
    expect(this.holders.map((_, index) => held(index))).toEqual(
      this.references.map((reference) => reference.held),
    );
  }
}

test('daemons hold the same tables as the reference model, for any sequence of steps', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 80, size: 'max' }), (steps) => {
      const simulation = new Simulation();
      steps.forEach((change) => simulation.apply(change));
    }),
    { seed: SEED, numRuns: 300 },
  );
});
