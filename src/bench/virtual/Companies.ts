import type * as benchTypes from './Types';

/** One-way, the same for both companies. */
const INTRA_DOMAIN_LATENCY_MS = 0.25;
const DAEMONS = 17;
const FAILURE_DOMAINS = 3;

/** Prompt idempotent reads of each company, at the sizes of design section 1.7. */
export const COMPANIES: ReadonlyMap<string, benchTypes.ICompany> = new Map(
  [
    {
      name: 'ogunleye',
      service: 'status-tracking',
      servers: 10,
      slots: 3,
      maxConnections: 200,
      daemons: DAEMONS,
      failureDomains: FAILURE_DOMAINS,
      intraDomainLatencyMs: INTRA_DOMAIN_LATENCY_MS,
      crossDomainLatencyMs: 1.5,
    },
    {
      name: 'gulf-crescent',
      service: 'failure-domain-board',
      servers: 14,
      slots: 4,
      maxConnections: 250,
      daemons: DAEMONS,
      failureDomains: FAILURE_DOMAINS,
      intraDomainLatencyMs: INTRA_DOMAIN_LATENCY_MS,
      crossDomainLatencyMs: 1,
    },
  ].map((company) => [company.name, company]),
);
