/**
 * Names of the platform's HTTP headers, in lower case. The platform calls a backend server a
 * target, a failure domain a zone, and its store a provider.
 */
export const REQUEST_ID = 'request-id';
/** Time that the caller will still wait, in milliseconds: a duration, not a point in time. */
export const REQUEST_DEADLINE = 'request-deadline';
/** Signature of the server that produced the answer. */
export const RESPONSE_SIGNATURE = 'response-signature';
/** Identifier of the only server that may run the request. */
export const EXPECTED_INSTANCE = 'expected-instance';
/** Identifier of the server that sent the answer. */
export const INSTANCE_ID = 'instance-id';
/** Running and queued requests, slots, and service time in percent of the normal one. */
export const SERVER_LOAD = 'server-load';
/** States that the request was not run. */
export const NOT_EXECUTED = 'not-executed';
/** Requests a second that the server takes from all daemons together, a decimal number. */
export const SERVER_LIMIT = 'server-limit';
/** Time for which the server stays cold, in milliseconds or as a duration with a unit. */
export const WARMUP_REMAINING = 'warmup-remaining';
/** Present while the server is leaving. */
export const SERVER_LEAVING = 'server-leaving';
/** Delay before a retry in seconds, with fractions. */
export const RETRY_AFTER = 'retry-after';

/** Number of times that the store was restored from a copy; in all its replies. */
export const STORE_ERA = 'store-era';

/** Key of the operators' configuration in the store. */
export const CONFIGURATION_KEY = 'op/config';
/** Key prefix of the registrations of backend servers, followed by the server's identifier. */
export const SERVER_KEY_PREFIX = 'servers/';
/** Key prefix of the operators' requests to evacuate, followed by the name of the zone. */
export const EVACUATION_KEY_PREFIX = 'op/evacuate/';
