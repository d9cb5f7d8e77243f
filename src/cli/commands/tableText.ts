import type * as tableDiff from '../../common/table/TableDiff';
import type * as tableTypes from '../../common/table/Types';

/** Version, hash and sizes of a table. */
export interface ITableSummary {
  readonly version: number;
  readonly hash: string;
  readonly maxDaemons: number;
  readonly serviceCount: number;
  readonly serverCount: number;
  readonly bytes: number;
}

const CHANGE_MARKERS = { added: '+', removed: '-', changed: '~' } as const;

export function summaryOf(table: tableTypes.ITable): ITableSummary {
  return {
    version: table.version,
    hash: table.hash,
    maxDaemons: table.maxDaemons,
    serviceCount: table.services.size,
    serverCount: [...table.servers.values()].flat().length,
    bytes: Buffer.byteLength(table.text),
  };
}

export function summaryText(table: tableTypes.ITable): string {
  const { version, hash, maxDaemons, serviceCount, serverCount, bytes } = summaryOf(table);
  const sizes = `${serviceCount} services, ${serverCount} servers, ${bytes} bytes`;
  return `valid, version ${version}, hash ${hash}, max_daemons ${maxDaemons}, ${sizes}`;
}

/** Returns the rows of a table for output as JSON. */
export function rowsOf(table: tableTypes.ITable): { services: unknown } {
  const services = [...table.services.values()].map((service) => ({
    ...service,
    servers: table.servers.get(service.name) ?? [],
  }));
  return { services };
}

function serviceText(service: tableTypes.IServiceRow, maxDaemons: number): string {
  const share = Math.floor(service.probesPerSecond / maxDaemons);
  return [
    service.name,
    service.workClass,
    service.idempotent ? 'idempotent' : 'not idempotent',
    `request key ${service.requestKey}`,
    `deadline ${service.deadlineMs} ms`,
    `${service.probesPerSecond} probes/s (${share} for each daemon)`,
    `hedges ${service.hedgeFraction * 100}%`,
    `retries ${Math.round(service.retryFraction * 100)}%`,
    `request up to ${service.maxRequestBytes} bytes`,
    `answer up to ${service.maxAnswerBytes} bytes`,
  ].join(', ');
}

function serverText(server: tableTypes.IServerRow): string {
  const { address, failureDomain, weight, slots, maxConnections } = server;
  const limits = `weight ${weight}, ${slots} slots, ${maxConnections} connections`;
  return `    ${address}  ${failureDomain}, ${limits}`;
}

/** Formats the rows of a table, one per line. */
export function rowText(table: tableTypes.ITable): string {
  const lines = [...table.services.values()].flatMap((service) => [
    `  ${serviceText(service, table.maxDaemons)}`,
    ...(table.servers.get(service.name) ?? []).map(serverText),
  ]);
  return lines.map((line) => `${line}\n`).join('');
}

/** Formats problems as `path:line: column: found "x", expected y`, and a line with their number. */
export function problemText(path: string, problems: readonly tableTypes.ITableProblem[]): string {
  const lines = problems.map(({ line, column, found, accepted }) => {
    const place = column === '' ? `${path}:${line}` : `${path}:${line}: ${column}`;
    const value = found === '' ? 'empty' : `"${found}"`;
    return `${place}: found ${value}, expected ${accepted}\n`;
  });
  return `${lines.join('')}${path}: ${problems.length} problems\n`;
}

export function isEmpty(difference: tableDiff.ITableDifference): boolean {
  const { versions, maxDaemons, rows } = difference;
  const isSameHeader = versions.before === versions.after && maxDaemons.before === maxDaemons.after;
  return isSameHeader && rows.length === 0;
}

/** Formats differences, one row per line: `+` added, `-` removed, `~` changed. */
export function differenceText(difference: tableDiff.ITableDifference): string {
  const { versions, maxDaemons, rows } = difference;
  const headerLines = [
    { member: 'version', ...versions },
    { member: 'max_daemons', ...maxDaemons },
  ]
    .filter(({ before, after }) => before !== after)
    .map(({ member, before, after }) => `~ ${member} ${before} -> ${after}\n`);
  const rowLines = rows.map(({ change, kind, service, address, members }) => {
    const name = address === undefined ? service : `${service} ${address}`;
    const changes = members
      .map(({ member, before, after }) => `${member} ${before} -> ${after}`)
      .join(', ');
    return `${CHANGE_MARKERS[change]} ${kind} ${name}${changes === '' ? '' : `: ${changes}`}\n`;
  });
  return [...headerLines, ...rowLines].join('');
}

/** Returns a warning if daemons would reject the table for its version, or an empty string. */
export function versionWarning(difference: tableDiff.ITableDifference): string {
  const { before, after } = difference.versions;
  if (isEmpty(difference) || after > before) return '';
  return `version ${after} is not higher than ${before}: daemons would not accept the table\n`;
}
