import * as crypto from 'node:crypto';

import type * as routingTypes from './Types';

/** Maximum number of routes that changes may lead to; they can name the same routes repeatedly. */
const MAX_ROUTES = 100_000;

/** Consecutive routes of the older configuration, by position, or new ones. */
export type RoutePart =
  | { readonly from: number; readonly count: number }
  | { readonly added: readonly routingTypes.IRoute[] };

/** What leads from one version of the configuration to a newer one. */
export interface IConfigurationChanges extends Omit<routingTypes.IConfiguration, 'routes'> {
  /** The older version, and the digest of its routes. */
  readonly baseVersion: number;
  readonly baseDigest: string;
  /** All routes of the newer version, in their order. */
  readonly routes: readonly RoutePart[];
}

const digests = new WeakMap<routingTypes.IConfiguration, string>();

/** Returns a digest of the routes, since two stores may have given out the same version. */
function digestOf(configuration: routingTypes.IConfiguration): string {
  const known = digests.get(configuration);
  if (known !== undefined) return known;
  const text = JSON.stringify(configuration.routes);
  const digest = crypto.createHash('sha256').update(text).digest('base64url');
  digests.set(configuration, digest);
  return digest;
}

/** Returns the changes from `base` to `next`. */
export function diff(
  base: routingTypes.IConfiguration,
  next: routingTypes.IConfiguration,
): IConfigurationChanges {
  const positions = new Map(base.routes.map((route, index) => [JSON.stringify(route), index]));
  const parts: ({ from: number; count: number } | { added: routingTypes.IRoute[] })[] = [];
  next.routes.forEach((route) => {
    const from = positions.get(JSON.stringify(route));
    const last = parts.at(-1);
    if (from === undefined) {
      if (last !== undefined && 'added' in last) last.added.push(route);
      else parts.push({ added: [route] });
    } else if (last !== undefined && 'from' in last && last.from + last.count === from) {
      last.count += 1;
    } else parts.push({ from, count: 1 });
  });
  return { ...next, baseVersion: base.version, baseDigest: digestOf(base), routes: parts };
}

/** Returns the newer configuration. Throws if the changes are not from `base`. */
export function apply(
  base: routingTypes.IConfiguration,
  { baseVersion, baseDigest, ...changes }: IConfigurationChanges,
): routingTypes.IConfiguration {
  if (base.version !== baseVersion || digestOf(base) !== baseDigest)
    throw new RangeError(`changes of version ${baseVersion} do not apply to ${base.version} here`);
  const routes: routingTypes.IRoute[] = [];
  changes.routes.forEach((part) => {
    const size = 'added' in part ? part.added.length : part.count;
    if (routes.length + size > MAX_ROUTES)
      throw new RangeError(`the configuration would have more than ${MAX_ROUTES} routes`);
    if ('added' in part) routes.push(...part.added);
    else {
      if (part.from + part.count > base.routes.length)
        throw new RangeError(`version ${baseVersion} has only ${base.routes.length} routes`);
      routes.push(...base.routes.slice(part.from, part.from + part.count));
    }
  });
  return { ...changes, routes };
}
