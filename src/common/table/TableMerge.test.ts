import * as fastCheck from 'fast-check';

import * as tableHolder from './TableHolder';

const DAEMONS = 5;
const SEED = 20_261_204;

/** The content of a table is its max_daemons, so the text follows from the two numbers. */
interface IPublished {
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

function textOf({ version, content }: IPublished): string {
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

/** The configuration service: the last value, or for a stale one the value when it became so. */
class Platform {
  private value: string | undefined;

  private seen: string | undefined;

  private mode: 'up' | 'down' | 'stale' = 'up';

  public publish(text: string): void {
    this.value = text;
    if (this.mode === 'up') this.seen = text;
  }

  public setMode(mode: 'up' | 'down' | 'stale'): void {
    if (mode === 'up') this.seen = this.value;
    this.mode = mode;
  }

  public read(): string | undefined {
    return this.mode === 'down' ? undefined : this.seen;
  }
}

/** What a daemon holds by the rule alone: the first table of the highest version it was given. */
class NaiveHolder {
  public held: IPublished | undefined;

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

class History {
  private readonly platform = new Platform();

  private real = Array.from({ length: DAEMONS }, () => new tableHolder.TableHolder());

  private naive = Array.from({ length: DAEMONS }, () => new NaiveHolder());

  private fetches: { daemon: number; holder: tableHolder.TableHolder; text: string }[] = [];

  public apply(change: Step): void {
    if (change.kind === 'publish') this.platform.publish(textOf(change));
    else if (change.kind === 'publish-invalid') this.platform.publish('kind,version\ntable,x');
    else if (change.kind === 'service') this.platform.setMode(change.mode);
    else if (change.kind === 'read') this.offer(change.daemon, this.platform.read());
    else if (change.kind === 'replace') this.replace(change.daemon);
    else if (change.kind === 'end-fetches') this.endFetches();
    else if (change.kind === 'exchange') this.compare(change.daemon, change.peer, true);
    else this.compare(change.daemon, change.peer, false);
    this.check();
  }

  private offer(index: number, text: string | undefined): void {
    if (text === undefined) return;
    const before = this.real[index]?.current?.version ?? 0;
    const kind = this.real[index]?.offer(text).kind;
    expect(kind).toBe(this.naive[index]?.offer(text));
    expect(this.real[index]?.current?.version ?? 0).toBeGreaterThanOrEqual(before);
  }

  private replace(index: number): void {
    this.real[index] = new tableHolder.TableHolder();
    this.naive[index] = new NaiveHolder();
  }

  private compare(index: number, peer: number, arrivesAtOnce: boolean): void {
    const theirs = this.real[peer]?.current;
    const holder = this.real[index] as tableHolder.TableHolder;
    if (theirs === undefined || theirs.version <= (holder.current?.version ?? 0)) return;
    if (arrivesAtOnce) this.offer(index, theirs.text);
    else this.fetches.push({ daemon: index, holder, text: theirs.text });
  }

  /** Fetched tables arrive late and in reverse, and not at a daemon that was replaced since. */
  private endFetches(): void {
    this.fetches
      .reverse()
      .filter((fetch) => this.real[fetch.daemon] === fetch.holder)
      .forEach((fetch) => this.offer(fetch.daemon, fetch.text));
    this.fetches = [];
  }

  private check(): void {
    const held = (index: number) => {
      const table = this.real[index]?.current;
      return table && { version: table.version, content: table.maxDaemons };
    };
    expect(this.real.map((_, index) => held(index))).toEqual(this.naive.map((one) => one.held));
  }
}

test('daemons hold what the version rule alone gives, in any order of exchanges', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 80, size: 'max' }), (steps) => {
      const history = new History();
      steps.forEach((change) => history.apply(change));
    }),
    { seed: SEED, numRuns: 300 },
  );
});
