import * as os from 'node:os';

import * as byteBudget from '../common/memory/ByteBudget';
import type * as memoryTypes from '../common/memory/Types';

/** Share of the memory of a VM that bodies may take; the process itself needs the rest. */
const MEMORY_SHARE = 0.45;

/** Limit on all bodies for a VM with much memory, in bytes. */
const MAX_BYTES = 160 * 1024 * 1024;

/** Shares of the limit that bodies of requests leave to answers, and that these may take. */
const RESERVE_SHARE = 0.2;
const ANSWER_SHARE = 0.375;

/** Returns the limits on the bodies that a daemon holds at the same time. */
export function limitsFor(memoryBytes: number): memoryTypes.IByteLimits {
  const totalBytes = Math.floor(Math.min(MAX_BYTES, MEMORY_SHARE * memoryBytes));
  return {
    totalBytes,
    answerReserveBytes: Math.floor(RESERVE_SHARE * totalBytes),
    answerBytes: Math.floor(ANSWER_SHARE * totalBytes),
  };
}

/** Returns the budget for the bodies that a daemon holds at the same time. */
export function makeBodyBudget(memoryBytes = os.totalmem()): byteBudget.ByteBudget {
  return new byteBudget.ByteBudget(limitsFor(memoryBytes));
}
