import type * as tableTypes from './Types';

/** One field that differs, with its values formatted for display. */
export interface IFieldDifference {
  readonly member: string;
  readonly before: string;
  readonly after: string;
}

/** One row that was added, removed or changed. */
export interface IRowDifference {
  readonly change: 'added' | 'removed' | 'changed';
  readonly kind: 'service' | 'server';
  readonly service: string;
  /** Address of a server; absent for a service. */
  readonly address?: string;
  /** Empty unless the row was changed. */
  readonly members: readonly IFieldDifference[];
}

/** Differences between two tables. */
export interface ITableDifference {
  readonly versions: { readonly before: number; readonly after: number };
  readonly maxDaemons: { readonly before: number; readonly after: number };
  /** Services sorted by name, each followed by its servers. */
  readonly rows: readonly IRowDifference[];
}

type Row = tableTypes.IServiceRow | tableTypes.IServerRow;
type RowIdentity = Pick<IRowDifference, 'kind' | 'service' | 'address'>;

function compareFields(before: Row, after: Row): readonly IFieldDifference[] {
  const afterValues = after as unknown as Record<string, unknown>;
  return Object.entries(before)
    .filter(([member, value]) => afterValues[member] !== value)
    .map(([member, value]) => ({ member, before: `${value}`, after: `${afterValues[member]}` }));
}

function compareRow(
  identity: RowIdentity,
  before: Row | undefined,
  after: Row | undefined,
): readonly IRowDifference[] {
  if (before === undefined && after === undefined) return [];
  if (before === undefined) return [{ change: 'added', ...identity, members: [] }];
  if (after === undefined) return [{ change: 'removed', ...identity, members: [] }];
  const members = compareFields(before, after);
  return members.length === 0 ? [] : [{ change: 'changed', ...identity, members }];
}

function compareServers(
  service: string,
  before: tableTypes.ITable,
  after: tableTypes.ITable,
): readonly IRowDifference[] {
  const byAddress = (table: tableTypes.ITable) =>
    new Map((table.servers.get(service) ?? []).map((server) => [server.address, server]));
  const [previous, current] = [byAddress(before), byAddress(after)];
  const addresses = [...new Set([...previous.keys(), ...current.keys()])];
  return addresses.flatMap((address) =>
    compareRow({ kind: 'server', service, address }, previous.get(address), current.get(address)),
  );
}

/** Compares two tables row by row. */
export function diffTables(before: tableTypes.ITable, after: tableTypes.ITable): ITableDifference {
  const names = [...new Set([...before.services.keys(), ...after.services.keys()])].sort();
  return {
    versions: { before: before.version, after: after.version },
    maxDaemons: { before: before.maxDaemons, after: after.maxDaemons },
    rows: names.flatMap((service) => [
      ...compareRow(
        { kind: 'service', service },
        before.services.get(service),
        after.services.get(service),
      ),
      ...compareServers(service, before, after),
    ]),
  };
}
