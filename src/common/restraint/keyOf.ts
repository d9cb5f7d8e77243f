import type * as restraintTypes from './Types';

/** Returns a key that identifies a server process. */
export function keyOf({ address, instance, startedAtMs }: restraintTypes.IServerProcess): string {
  return `${address} ${instance ?? ''} ${startedAtMs ?? ''}`;
}
