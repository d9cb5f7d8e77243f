import type * as callCoordinator from '../../common/call/CallCoordinator';
import type * as connectionCounts from '../../common/connections/ConnectionCounts';
import type * as directoryModule from '../../common/directory/Directory';
import type * as byteBudget from '../../common/memory/ByteBudget';
import type * as directoryWatcher from '../directory/DirectoryWatcher';
import type * as decisionLog from './DecisionLog';

/** Sources of the gauges of a routed daemon. */
export interface IGaugeSources {
  readonly coordinator: callCoordinator.CallCoordinator;
  readonly directory: directoryModule.Directory;
  readonly watcher: directoryWatcher.DirectoryWatcher;
  readonly isReady: () => boolean;
  readonly countDaemons: () => number;
  readonly countLimitedServers: () => number;
  readonly countColdServers: () => number;
  readonly countUnreachableServices: () => number;
  readonly countSuspectRequests: () => number;
  readonly countConnections: () => number;
  readonly countWaitingCalls: () => number;
  readonly budget: byteBudget.ByteBudget;
  readonly connections: connectionCounts.ConnectionCounts;
}

/** Adds gauges for the state of a routed daemon to its metrics. */
export function addDaemonGauges(decisions: decisionLog.DecisionLog, sources: IGaugeSources): void {
  const { coordinator, directory, watcher, isReady, countDaemons } = sources;
  decisions.addGauge('calls_in_flight', 'Calls without an outcome', () => coordinator.inFlight);
  decisions.addGauge('ready', 'Whether new connections are taken', () => (isReady() ? 1 : 0));
  decisions.addGauge(
    'configuration_version',
    'Version of the configuration in force',
    () => directory.configuration?.version ?? 0,
  );
  decisions.addGauge('directory_revision', 'Revision of the directory', () => directory.revision);
  decisions.addGauge('directory_reads', 'Reads of the directory since the start', () => {
    const { lists, watches } = watcher.counts;
    return lists + watches;
  });
  decisions.addGauge(
    'evacuated_failure_domains',
    'Failure domains whose servers get no requests, by request of operators',
    () => directory.evacuatedDomains.size,
  );
  decisions.addGauge('daemons', 'Daemons known, this one included', countDaemons);
  decisions.addGauge('limited_servers', 'Servers that name a limit', sources.countLimitedServers);
  decisions.addGauge(
    'cold_servers',
    'Servers that get few requests because they are cold',
    sources.countColdServers,
  );
  decisions.addGauge(
    'services_out_of_reach',
    'Services whose servers do not answer this daemon',
    sources.countUnreachableServices,
  );
  decisions.addGauge(
    'suspect_requests',
    'Requests that are refused because they crash servers',
    sources.countSuspectRequests,
  );
  decisions.addCounts(
    'server_connections_total',
    'Connections to backend servers that were opened and closed, by cause',
    () => sources.connections.byCause,
  );
  decisions.addGauge(
    'waiting_calls',
    'Calls that wait for room on a backend server',
    sources.countWaitingCalls,
  );
  decisions.addGauge('caller_connections', 'Open connections of callers', sources.countConnections);
  const { budget } = sources;
  decisions.addGauge(
    'connection_bytes',
    'Bytes counted for connections of callers, without large bodies',
    () => budget.connectionBytes,
  );
  (['request', 'answer', 'reply'] as const).forEach((kind) =>
    decisions.addGauge(`${kind}_body_bytes`, `Bytes held by large bodies: ${kind}`, () =>
      budget.bytesOf(kind),
    ),
  );
}
