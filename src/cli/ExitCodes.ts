/** The command failed for a reason that has no code of its own. */
export const FAILED = 1;

/** The settings or the arguments cannot be used. */
export const BAD_INPUT = 2;

/** The daemon cannot start, as when an address is in use. */
export const CANNOT_START = 3;

/** No daemon answers at the operators' address. */
export const UNREACHABLE = 4;

/** The daemon answers, and is not ready. */
export const NOT_READY = 5;

/** The daemon does not know what was asked for. */
export const NOT_FOUND = 6;
