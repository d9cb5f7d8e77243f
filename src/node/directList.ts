import * as zod from 'zod';

/**
 * Schema of a long list whose items are mostly of one form. A schema takes many times as long as
 * reading an item directly, so that only items of another form and those with a fault pass it.
 * @param readDirectly Reads a valid item of the usual form; returns undefined for any other value.
 * @param schema Schema of all forms, which returns the same for the usual one.
 */
export function directList<T>(
  readDirectly: (candidate: unknown) => T | undefined,
  schema: zod.ZodType<T>,
) {
  return zod.unknown().transform((value, context): readonly T[] => {
    if (!Array.isArray(value)) {
      context.addIssue({ code: 'custom', message: 'expected a list' });
      return zod.NEVER;
    }
    return value.map((candidate, index) => {
      const direct = readDirectly(candidate);
      if (direct !== undefined) return direct;
      const parsed = schema.safeParse(candidate);
      if (parsed.success) return parsed.data;
      parsed.error.issues.forEach(({ path, message }) =>
        context.addIssue({ code: 'custom', path: [index, ...path], message }),
      );
      return zod.NEVER;
    });
  });
}
