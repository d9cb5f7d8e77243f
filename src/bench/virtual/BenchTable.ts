import type * as tableTypes from '../../common/table/Types';
import type * as benchTypes from './Types';

const DEADLINE_MS = 2_000;
const HEDGE_FRACTION = 0.05;
const RETRY_FRACTION = 0.1;
const MAX_BYTES = 1_000_000;

/** Spreads daemons and servers evenly over the failure domains. */
export function domainOf(index: number, company: benchTypes.ICompany): string {
  return `domain-${(index % company.failureDomains) + 1}`;
}

function serviceRow(company: benchTypes.ICompany, probesPerSecond: number): tableTypes.IServiceRow {
  return {
    name: company.service,
    workClass: 'prompt',
    idempotent: true,
    requestKey: 'none',
    deadlineMs: DEADLINE_MS,
    probesPerSecond,
    hedgeFraction: HEDGE_FRACTION,
    retryFraction: RETRY_FRACTION,
    maxRequestBytes: MAX_BYTES,
    maxAnswerBytes: MAX_BYTES,
  };
}

/** The table of a simulated fleet: one service of the company. */
export function tableOf(company: benchTypes.ICompany, probesPerSecond: number): tableTypes.ITable {
  const rows = Array.from({ length: company.servers }, (_item, index) => ({
    service: company.service,
    address: `10.0.0.${index + 1}:8080`,
    failureDomain: domainOf(index, company),
    weight: 1,
    slots: company.slots,
    maxConnections: company.maxConnections,
  }));
  return {
    version: 1,
    hash: 'bench',
    maxDaemons: company.daemons,
    services: new Map([[company.service, serviceRow(company, probesPerSecond)]]),
    servers: new Map([[company.service, rows]]),
    text: '',
  };
}
