import * as yaml from 'yaml';
import type * as zod from 'zod';

import type * as types from '../../common/Types';

/** Longest part of a value that is repeated in a message. */
const MAX_FOUND_LENGTH = 60;

/** One fault of the settings. */
export interface ISettingsProblem {
  /** Path of the setting, as in `logLevel`; empty if the text as a whole is at fault. */
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

/** Reads settings in YAML by their schema. All problems are reported at once. */
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
