/** The command failed for a reason without a dedicated code. */
export const FAILED = 1;

/** The settings or the arguments cannot be used. */
export const BAD_INPUT = 2;

/** The daemon cannot start, for example because an address is in use. */
export const CANNOT_START = 3;

/** No daemon responds at the operator address. */
export const UNREACHABLE = 4;

/** The daemon responds but is not ready. */
export const NOT_READY = 5;

/** The requested server or request was not found. */
export const NOT_FOUND = 6;
