import * as zod from 'zod';

import type * as routingTypes from '../../common/routing/Types';
import * as directList from '../directList';

const DURATION_MS = zod.number().min(0);

const TARGETS = zod
  .array(zod.object({ service: zod.string(), weight: zod.number().min(0) }))
  .refine((targets) => targets.some(({ weight }) => weight > 0), 'no target has a weight');

/** Routes of any form. */
export const SCHEMA = zod.object({
  name: zod.string(),
  host: zod.string(),
  prefix: zod.string(),
  targets: TARGETS,
  idempotent: zod.boolean(),
  hasLargeAnswers: zod.boolean().optional(),
  // Absent in routes of peers of earlier versions.
  priority: zod.int().min(0).default(0),
  timeoutMs: DURATION_MS,
  objectiveMs: DURATION_MS,
  maxAttempts: zod.int().min(1),
});

/** Numbers in JSON are finite but for those beyond its range, which are infinite. */
function isAmount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** Reads a valid route with one target, the usual form; returns undefined for any other value. */
function readUsualRoute(value: unknown): routingTypes.IRoute | undefined {
  const { name, host, prefix, targets, idempotent, timeoutMs, objectiveMs, maxAttempts } =
    Object(value);
  const { hasLargeAnswers, priority = 0 } = Object(value);
  if (!Array.isArray(targets) || targets.length !== 1) return undefined;
  const { service, weight } = Object(targets[0]);
  const isUsual =
    typeof name === 'string' &&
    typeof host === 'string' &&
    typeof prefix === 'string' &&
    typeof service === 'string' &&
    isAmount(weight) &&
    weight > 0 &&
    typeof idempotent === 'boolean' &&
    (hasLargeAnswers === undefined || typeof hasLargeAnswers === 'boolean') &&
    Number.isSafeInteger(priority) &&
    priority >= 0 &&
    isAmount(timeoutMs) &&
    isAmount(objectiveMs) &&
    Number.isSafeInteger(maxAttempts) &&
    maxAttempts >= 1;
  if (!isUsual) return undefined;
  return {
    name,
    host,
    prefix,
    targets: [{ service, weight }],
    idempotent,
    ...(hasLargeAnswers !== undefined && { hasLargeAnswers }),
    priority,
    timeoutMs,
    objectiveMs,
    maxAttempts,
  };
}

/** Routes of a configuration that a peer sent; there may be thousands. */
export const ROUTES = directList.directList(readUsualRoute, SCHEMA);
