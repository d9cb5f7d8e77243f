/**
 * Names of the platform's HTTP headers, in lower case. The platform calls a backend server a
 * target, a failure domain a zone, and its store a provider.
 */
export const REQUEST_ID = 'request-id';
/** Milliseconds that the caller will still wait; a duration, not a time. */
export const REQUEST_DEADLINE = 'request-deadline';
/** The server's proof that it made an answer. */
export const RESPONSE_SIGNATURE = 'response-signature';
/** Identifier of the server that alone may run the request. */
export const EXPECTED_INSTANCE = 'expected-instance';
/** Identifier of the server that answers. */
export const INSTANCE_ID = 'instance-id';
/** Running and waiting requests, slots, and present duration of work in percent of the usual. */
export const SERVER_LOAD = 'server-load';
/** States that the request was not run. */
export const NOT_EXECUTED = 'not-executed';
/** Seconds, with fractions. */
export const RETRY_AFTER = 'retry-after';

/** Key of the operators' configuration in the store. */
export const CONFIGURATION_KEY = 'op/config';
/** Prefix of the keys under which backend servers register, each followed by the identifier. */
export const SERVER_KEY_PREFIX = 'servers/';
