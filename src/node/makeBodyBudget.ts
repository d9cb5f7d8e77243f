import * as os from 'node:os';
import * as v8 from 'node:v8';

import * as byteBudget from '../common/memory/ByteBudget';
import type * as memoryTypes from '../common/memory/Types';

const BYTES_PER_MB = 1_000_000;

/** Share of the memory of a VM that bodies may take; the process itself needs the rest. */
const MEMORY_SHARE = 0.45;

/** Limit on all bodies for a VM with much memory, in bytes. */
const MAX_BYTES = 160 * 1024 * 1024;

/** Shares of the limit that bodies of requests leave to answers, and that these may take. */
const RESERVE_SHARE = 0.2;
const ANSWER_SHARE = 0.375;

/** Shares of that limit, and of the limit on the heap, that connections may take besides bodies. */
const CONNECTION_SHARE = 0.5;
const HEAP_SHARE = 0.25;

/** Returns the limits on the bodies and connections that a daemon holds at the same time. */
export function limitsFor(
  memoryBytes: number,
  heapBytes = v8.getHeapStatistics().heap_size_limit,
): memoryTypes.IByteLimits {
  const totalBytes = Math.floor(Math.min(MAX_BYTES, MEMORY_SHARE * memoryBytes));
  return {
    totalBytes,
    answerReserveBytes: Math.floor(RESERVE_SHARE * totalBytes),
    answerBytes: Math.floor(ANSWER_SHARE * totalBytes),
    connectionBytes: Math.floor(Math.min(CONNECTION_SHARE * totalBytes, HEAP_SHARE * heapBytes)),
  };
}

/** Returns the budget for the bodies and connections that a daemon holds at the same time. */
export function makeBodyBudget(memoryMb?: number | null): byteBudget.ByteBudget {
  const memoryBytes = typeof memoryMb === 'number' ? memoryMb * BYTES_PER_MB : os.totalmem();
  return new byteBudget.ByteBudget(limitsFor(memoryBytes));
}
