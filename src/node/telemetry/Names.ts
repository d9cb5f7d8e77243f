/**
 * Names shared by logs, metrics, spans and the operators' endpoint. A metric name has the prefix
 * `lavenderspar.`; a log line contains the name in its field `event`.
 */
export const CALL = 'call';
export const ATTEMPT = 'attempt';
export const CALL_ANSWERED = 'call.answered';
export const CALL_REFUSED = 'call.refused';
export const CALL_WITHOUT_ROOM = 'call.without_room';
export const CALL_LATENCY = 'call.latency_ms';
export const ATTEMPT_STARTED = 'attempt.started';
export const SECOND_SEND = 'call.second_send';
export const RETRY_DECIDED = 'retry.decided';
export const ATTEMPT_ENDED = 'attempt.ended';
export const ATTEMPT_LATENCY = 'attempt.latency_ms';
export const PROBE_ENDED = 'probe.ended';
export const CALLS_IN_FLIGHT = 'calls.in_flight';
export const TABLE_VERSION = 'table.version';
export const DAEMON_READY = 'daemon.ready';
export const SETTINGS_RELOADED = 'settings.reloaded';
export const PROCESS_PAUSED = 'process.paused';
export const PROCESS_DELAYED = 'process.delayed';
export const UNCAUGHT_ERROR = 'process.uncaught_error';
export const PROCESS_ENDED = 'process.ended';
export const DIRECTORY_READ = 'directory.read';
export const DIRECTORY_RELAYED = 'directory.relayed';
export const DIRECTORY_LOST = 'directory.lost';
export const DIRECTORY_REGAINED = 'directory.regained';
export const DIRECTORY_HISTORY_LOST = 'directory.history_lost';
export const DIRECTORY_RESTORED = 'directory.restored';
export const EVACUATION_BEGUN = 'evacuation.begun';
export const EVACUATION_ENDED = 'evacuation.ended';
export const SERVER_SIGNAL = 'server.signal';
export const SERVER_COLD = 'server.cold';
export const SERVER_WARM = 'server.warm';
export const CALL_FORWARDED = 'call.forwarded';
export const SERVICE_OUT_OF_REACH = 'service.out_of_reach';
export const SERVICE_IN_REACH = 'service.in_reach';
export const SERVER_LOSS = 'server.loss';
export const REQUEST_SUSPICION = 'request.suspicion';
export const CONNECTIONS_COUNTED = 'connections.counted';
export const CONNECTION_CLOSED = 'connection.closed';
export const LOG_DROPPED = 'log.dropped';
export const DIRECTORY_PROBLEM = 'directory.problem';

/** Prefix of all metric names. */
export const METRIC_PREFIX = 'lavenderspar.';
