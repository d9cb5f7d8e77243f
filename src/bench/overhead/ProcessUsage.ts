import * as fs from 'node:fs/promises';

/** Clock ticks per second in `/proc` on Linux. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_PAGE = 4_096;
const BYTES_PER_MB = 1024 * 1024;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** CPU time that a process has used so far, and its resident memory. */
export interface IUsage {
  readonly processorUs: number;
  readonly memoryMb: number;
}

/** Reads the usage of a process from `/proc`. Returns zeros if it cannot be read. */
export async function usageOf(processId: number): Promise<IUsage> {
  try {
    const text = await fs.readFile(`/proc/${processId}/stat`, 'utf8');
    // The name of the process, in parentheses, can contain spaces.
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[11]) + Number(fields[12]);
    const pages = Number(fields[21]);
    return {
      processorUs: (ticks * MICROSECONDS_PER_SECOND) / TICKS_PER_SECOND,
      memoryMb: (pages * BYTES_PER_PAGE) / BYTES_PER_MB,
    };
  } catch {
    return { processorUs: 0, memoryMb: 0 };
  }
}
