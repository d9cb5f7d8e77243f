import * as fs from 'node:fs';

import type * as types from '../../common/Types';
import * as boundedLogStream from './BoundedLogStream';

/**
 * Makes the log stream of a process, which writes to standard output. Unlike `process.stdout` it
 * emits no error that ends the process when the reader of the log is gone.
 */
export function makeOutputLogStream(clock: types.IClock): boundedLogStream.BoundedLogStream {
  const { fd } = process.stdout;
  return new boundedLogStream.BoundedLogStream(
    (bytes, onWritten) => fs.write(fd, bytes, onWritten),
    // Only a synchronous write is complete before the process is gone.
    // eslint-disable-next-line n/no-sync
    (bytes) => fs.writeSync(fd, bytes),
    clock,
  );
}
