import * as seededRandom from '../src/common/SeededRandom';
import * as tableHolder from '../src/common/table/TableHolder';
import * as tableSpecification from './TableSpecification';
import * as traces from './Traces';

function csvOf({ version, content }: tableSpecification.ITableText): string {
  return [
    'kind,name,service,version,max_daemons,idempotent,deadline_ms,address,failure_domain,slots,max_connections',
    `table,,,${version},20,,,,,,`,
    'service,status,,,,yes,1000,,,,',
    `server,,status,,,,,10.0.0.${content === 'a' ? 1 : 2}:80,one,3,200`,
  ].join('\n');
}

class RealDaemons {
  public readonly holders: tableHolder.TableHolder[];

  public constructor(count: number) {
    this.holders = Array.from({ length: count }, () => new tableHolder.TableHolder());
  }

  public apply(event: tableSpecification.TableEvent): void {
    if (event.type === 'replace') this.holders[event.daemon] = new tableHolder.TableHolder();
    if (event.type === 'read-service' && event.text !== null) {
      expect(this.holders[event.daemon]?.offer(csvOf(event.text)).kind).not.toBe('invalid');
    }
    if (event.type === 'query-peer') {
      const text = this.holders[event.peer]?.current?.text;
      if (text !== undefined) this.holders[event.daemon]?.offer(text);
    }
  }

  public get texts(): (string | undefined)[] {
    return this.holders.map(({ current }) => current?.text);
  }
}

function replay(
  specification: tableSpecification.TableSpecification,
  events: readonly tableSpecification.TableEvent[],
): void {
  let state = specification.initial;
  const real = new RealDaemons(state.daemons.length);
  events.forEach((event) => {
    state = specification.next(state, event);
    real.apply(event);
    const specified = state.daemons.map(({ active }) =>
      active === null ? undefined : csvOf(active),
    );
    expect(real.texts).toEqual(specified);
  });
}

test('the table holder matches the specification on a trace to every state with one version', () => {
  const bounds = { daemons: 2, maxVersion: 1, maxReplacements: 1 };
  const specification = new tableSpecification.TableSpecification(undefined, bounds);
  traces.tracesToAllStates(specification).forEach((events) => replay(specification, events));
});

test('the table holder matches the specification on random traces with five versions', () => {
  const bounds = { daemons: 3, maxVersion: 5, maxReplacements: 3 };
  const specification = new tableSpecification.TableSpecification(undefined, bounds);
  const random = new seededRandom.SeededRandom(12);
  for (let run = 0; run < 100; run += 1) {
    replay(specification, traces.randomTrace(specification, 40, random));
  }
});
