import * as zod from 'zod';

import * as durations from '../common/Durations';
import * as directList from '../node/directList';

/** Duration in the platform's format, in milliseconds. */
export const DURATION = zod.string().transform((text, context) => {
  const durationMs = durations.parseDuration(text);
  if (durationMs !== undefined) return durationMs;
  context.addIssue({ code: 'custom', message: 'expected a duration such as 1500ms' });
  return zod.NEVER;
});

/** A prefix begins and ends with a slash. */
const PREFIX = /^\/(.*\/)?$/s;

const SPLIT = zod
  .array(zod.object({ service: zod.string(), weight: zod.number().min(0) }))
  .min(1)
  .refine((parts) => parts.some(({ weight }) => weight > 0), 'no part has a weight');

/** Kinds of requests. A download is idempotent and has large answers. */
const KINDS = ['idempotent', 'non_idempotent', 'download'] as const;

/** Priority of a rule that states none: the highest. */
const DEFAULT_PRIORITY = 0;

/** Rules of any form. */
export const SCHEMA = zod.object({
  name: zod.string(),
  kind: zod.enum(KINDS),
  // Latency objective: time within which an answer is fully useful.
  aim: DURATION,
  // The lower the number, the more urgent.
  priority: zod.int().min(0).default(DEFAULT_PRIORITY),
  match: zod.object({ prefix: zod.string().regex(PREFIX, 'expected slashes at both ends') }),
  action: zod.object({
    service: zod.string().optional(),
    split: SPLIT.optional(),
    timeout: DURATION,
    maxAttempts: zod.int().min(1),
  }),
});

/** Rule of the operators' configuration. Durations are in milliseconds. */
export type Rule = zod.infer<typeof SCHEMA>;

function readDuration(value: unknown): number | undefined {
  return typeof value === 'string' ? durations.parseDuration(value) : undefined;
}

/** Reads a valid rule with one service, the usual form; returns undefined for any other value. */
function readUsualRule(value: unknown): Rule | undefined {
  const { name, kind, aim, match, action, priority = DEFAULT_PRIORITY } = Object(value);
  const { prefix } = Object(match);
  const { service, split, timeout, maxAttempts } = Object(action);
  const aimMs = readDuration(aim);
  const timeoutMs = readDuration(timeout);
  const isUsual =
    typeof name === 'string' &&
    KINDS.includes(kind) &&
    Number.isSafeInteger(priority) &&
    priority >= 0 &&
    typeof prefix === 'string' &&
    PREFIX.test(prefix) &&
    typeof service === 'string' &&
    split === undefined &&
    Number.isSafeInteger(maxAttempts) &&
    maxAttempts >= 1;
  if (!isUsual || aimMs === undefined || timeoutMs === undefined) return undefined;
  return {
    name,
    kind,
    aim: aimMs,
    priority,
    match: { prefix },
    action: { service, timeout: timeoutMs, maxAttempts },
  };
}

/** Rules of one host; there may be thousands. */
export const RULES = directList.directList(readUsualRule, SCHEMA);
