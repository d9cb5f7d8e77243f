import * as tableDiff from './TableDiff';
import * as tableHolder from './TableHolder';
import * as tableParser from './TableParser';
import type * as tableTypes from './Types';

const HEAD = 'kind,name,version,max_daemons,idempotent,deadline_ms,service,address,failure_domain';

function textOf(version: number, ...rows: readonly string[]): string {
  return [`${HEAD},slots,max_connections`, `table,,${version},20`, ...rows].join('\n');
}

const SERVICE = 'service,status,,,yes,1000';
const server = (last: number, slots = 3) => `server,,,,,,status,10.0.0.${last}:80,a,${slots},200`;

test('only a higher version becomes active', () => {
  const holder = new tableHolder.TableHolder();
  const accepted: number[] = [];
  holder.onAccepted(({ version }) => accepted.push(version));
  const kinds = [
    textOf(5),
    textOf(5),
    textOf(5, SERVICE),
    textOf(4),
    textOf(0),
    textOf(6),
    textOf(5),
  ].map((text) => holder.offer(text).kind);
  expect(kinds).toEqual([
    'accepted',
    'unchanged',
    'conflict',
    'older',
    'invalid',
    'accepted',
    'older',
  ]);
  expect(accepted).toEqual([5, 6]);
});

test('a slow parse of an older table does not replace a newer one', async () => {
  const holder = new tableHolder.TableHolder();
  const slow = tableParser.TableParser.parseInSlices(textOf(5), () => Promise.resolve());
  holder.offer(textOf(6));
  expect(holder.offerParsed(await slow).kind).toBe('older');
  expect(holder.current?.version).toBe(6);
});

test('the diff contains added, removed and changed rows with both values', () => {
  const parse = (text: string): tableTypes.ITable => {
    const parsed = tableParser.TableParser.parse(text);
    if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
    return parsed.value;
  };
  const before = parse(textOf(1, SERVICE, server(1), server(2), 'service,old,,,yes,1000'));
  const after = parse(textOf(2, 'service,status,,,no,1000', server(2, 4), server(3)));
  const identity = { kind: 'server', service: 'status' };
  expect(tableDiff.diffTables(before, after)).toEqual({
    versions: { before: 1, after: 2 },
    maxDaemons: { before: 20, after: 20 },
    rows: [
      { change: 'removed', kind: 'service', service: 'old', members: [] },
      {
        change: 'changed',
        kind: 'service',
        service: 'status',
        members: [
          { member: 'idempotent', before: 'true', after: 'false' },
          { member: 'requestKey', before: 'none', after: 'required' },
        ],
      },
      { change: 'removed', ...identity, address: '10.0.0.1:80', members: [] },
      {
        change: 'changed',
        ...identity,
        address: '10.0.0.2:80',
        members: [{ member: 'slots', before: '3', after: '4' }],
      },
      { change: 'added', ...identity, address: '10.0.0.3:80', members: [] },
    ],
  });
  expect(tableDiff.diffTables(before, before).rows).toEqual([]);
});
