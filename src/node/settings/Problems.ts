import * as yaml from 'yaml';
import type * as zod from 'zod';

import type * as types from '../../common/Types';

/** Maximum length of a value quoted in a message. */
const MAX_FOUND_LENGTH = 60;

/** An error in the settings. */
export interface ISettingsProblem {
  /** Path of the setting, as in `logLevel`; empty if the error concerns the whole text. */
  readonly path: string;
  /** What was expected and what was found. */
  readonly message: string;
}

function describeFound(values: unknown, path: readonly PropertyKey[]): string {
  const found = path.reduce<unknown>(
    (value, key) => (value as Record<PropertyKey, unknown> | null | undefined)?.[key],
    values,
  );
  if (found === undefined) return 'nothing';
  return JSON.stringify(found).slice(0, MAX_FOUND_LENGTH);
}

/** @param known Names of all settings. */
function toProblems(
  issue: zod.core.$ZodIssue,
  values: unknown,
  known: readonly string[],
): ISettingsProblem[] {
  if (issue.code === 'unrecognized_keys') {
    const message = `unknown setting; expected one of ${known.join(', ')}`;
    return issue.keys.map((key) => ({ path: [...issue.path, key].join('.'), message }));
  }
  const expected = issue.message
    .replace(/^Invalid (input|option): /, '')
    .replace(/, received .*$/, '');
  const message = `${expected}, found ${describeFound(values, issue.path)}`;
  return [{ path: issue.path.join('.'), message }];
}

/** Parses settings in YAML and validates them against `schema`. Reports all problems at once. */
export function parseYaml<TShape extends zod.core.$ZodShape>(
  text: string,
  schema: zod.ZodObject<TShape>,
): types.Result<zod.infer<zod.ZodObject<TShape>>, readonly ISettingsProblem[]> {
  const document = yaml.parseDocument(text);
  if (document.errors.length > 0) {
    const error = document.errors.map(({ message }) => ({ path: '', message }));
    return { ok: false, error };
  }
  const values: unknown = document.toJS() ?? {};
  const result = schema.safeParse(values);
  if (result.success) return { ok: true, value: result.data };
  const known = Object.keys(schema.shape);
  const error = result.error.issues.flatMap((issue) => toProblems(issue, values, known));
  return { ok: false, error };
}
