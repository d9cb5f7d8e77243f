import type * as tableTypes from '../../common/table/Types';
import type * as benchTypes from './Types';

/** Service of the long reads in scenarios that separate them from the prompt calls. */
export const LONG_READ_SERVICE = 'historic-records';
/** Service of the innermost call of a chain. Its servers refuse every request. */
export const FAILING_SERVICE = 'failing-leaf';

const PROMPT_DEADLINE_MS = 2_000;
const LEISURE_DEADLINE_MS = 10_000;
const FAILING_SERVERS = 4;
const HEDGE_FRACTION = 0.05;
const RETRY_FRACTION = 0.1;
const MAX_BODY_BYTES = 1_000_000;

/** Returns the failure domain of a daemon or server, evenly spread by index. */
export function domainOf(index: number, company: benchTypes.ICompany): string {
  return `domain-${(index % company.failureDomains) + 1}`;
}

/**
 * Returns the service of the calls at one depth of a chain. It runs on the servers of the measured
 * service. With one service for all depths, outer calls would hold admission slots that their own
 * inner calls wait for.
 */
export function nestedServiceOf(company: benchTypes.ICompany, depth: number): string {
  return `${company.service}-${depth}`;
}

function serviceRow(name: string, workClass: tableTypes.WorkClass): tableTypes.IServiceRow {
  return {
    name,
    workClass,
    idempotent: true,
    requestKey: 'none',
    deadlineMs: workClass === 'prompt' ? PROMPT_DEADLINE_MS : LEISURE_DEADLINE_MS,
    probesPerSecond: 0,
    hedgeFraction: 0,
    retryFraction: RETRY_FRACTION,
    maxRequestBytes: MAX_BODY_BYTES,
    maxAnswerBytes: MAX_BODY_BYTES,
  };
}

function serverRows(
  service: string,
  company: benchTypes.ICompany,
  subnet: number,
  count: number,
): readonly tableTypes.IServerRow[] {
  return Array.from({ length: count }, (_item, index) => ({
    service,
    address: `10.0.${subnet}.${index + 1}:8080`,
    failureDomain: domainOf(index, company),
    weight: 1,
    slots: company.slots,
    maxConnections: company.maxConnections,
  }));
}

/** Returns the table of a simulated fleet: the measured service and those that the scenario adds. */
export function tableOf(
  company: benchTypes.ICompany,
  scenario: benchTypes.IScenario,
  probesPerSecond: number,
  hedges: boolean,
): tableTypes.ITable {
  const { service } = company;
  const hedgeFraction = hedges ? HEDGE_FRACTION : 0;
  const rows = [{ ...serviceRow(service, 'prompt'), probesPerSecond, hedgeFraction }];
  const servers = new Map([[service, serverRows(service, company, 0, company.servers)]]);
  if (scenario.hasLongReadService === true) {
    rows.push(serviceRow(LONG_READ_SERVICE, 'leisure'));
    servers.set(LONG_READ_SERVICE, serverRows(LONG_READ_SERVICE, company, 0, company.servers));
  }
  if (scenario.depth !== undefined) {
    const nestedServices = Array.from({ length: scenario.depth - 2 }, (_item, index) =>
      nestedServiceOf(company, index + 1),
    );
    nestedServices.forEach((name) => {
      rows.push({ ...serviceRow(name, 'prompt'), hedgeFraction });
      servers.set(name, serverRows(name, company, 0, company.servers));
    });
    rows.push({ ...serviceRow(FAILING_SERVICE, 'prompt'), hedgeFraction });
    servers.set(FAILING_SERVICE, serverRows(FAILING_SERVICE, company, 1, FAILING_SERVERS));
  }
  return {
    version: 1,
    hash: 'bench',
    maxDaemons: company.daemons,
    services: new Map(rows.map((row) => [row.name, row])),
    servers,
    text: '',
  };
}
