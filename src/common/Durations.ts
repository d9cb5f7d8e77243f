const UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1_000 };

/** Parses a duration such as `1500ms` or `2.5s` into milliseconds; undefined if malformed. */
export function parseDuration(text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)(ms|s)$/.exec(text);
  if (match === null) return undefined;
  const [, amount = '', unit = ''] = match;
  return Number(amount) * (UNITS_MS[unit] ?? 1);
}
