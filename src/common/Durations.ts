const UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1_000 };

/**
 * Parses a duration such as `1500ms` or `2.5s` into milliseconds; undefined if malformed, or longer
 * than a number can tell.
 */
export function parseDuration(text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)(ms|s)$/.exec(text);
  if (match === null) return undefined;
  const [, amount = '', unit = ''] = match;
  const durationMs = Number(amount) * (UNITS_MS[unit] ?? 1);
  return Number.isFinite(durationMs) ? durationMs : undefined;
}
