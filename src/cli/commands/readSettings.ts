import * as fs from 'node:fs/promises';

import type * as types from '../../common/Types';
import type * as problems from '../../node/settings/Problems';

/** Reads and parses a settings file. The error lists every problem with its path, one per line. */
export async function readSettings<T>(
  path: string,
  parse: (text: string) => types.Result<T, readonly problems.ISettingsProblem[]>,
): Promise<types.Result<T, string>> {
  let text: string;
  try {
    text = await fs.readFile(path, 'utf8');
  } catch (error) {
    return { ok: false, error: `cannot read the settings: ${(error as Error).message}` };
  }
  const parsed = parse(text);
  if (parsed.ok) return parsed;
  const lines = parsed.error.map((problem) => {
    const place = problem.path === '' ? path : `${path}: ${problem.path}`;
    return `${place}: ${problem.message}`;
  });
  return { ok: false, error: lines.join('\n') };
}
