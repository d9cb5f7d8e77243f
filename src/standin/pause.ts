/** Resolves after `durationMs` milliseconds of real time. */
export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
