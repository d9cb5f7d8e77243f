import type * as stream from 'node:stream';

import * as byteBudget from '../common/memory/ByteBudget';
import * as bodyBuffer from './BodyBuffer';

/** Number of pieces of a body that may be of any size. */
const ANY_SIZE_PIECES = 4_096;

/** Average size, in bytes, below which the later pieces cost more than what they carry. */
const MIN_AVERAGE_BYTES = 24;

const UNLIMITED = new byteBudget.ByteBudget(byteBudget.UNLIMITED);

/**
 * Returns the bytes of a body. Rejects, and closes it, as soon as it has more than `maxBytes` or comes
 * in too many small pieces.
 */
export function readBody(body: stream.Readable, maxBytes: number): Promise<Buffer> {
  const bytes = new bodyBuffer.BodyBuffer(maxBytes, () => UNLIMITED.reserveAnswer(() => undefined));
  let pieces = 0;
  return new Promise((resolve, reject) => {
    // An iterator would join the pieces that have arrived, so that they could not be counted.
    body.on('data', (piece: Buffer) => {
      pieces += 1;
      if (bytes.size + piece.length > maxBytes) {
        body.destroy(new Error(`the body exceeds ${maxBytes} bytes`));
        return;
      }
      bytes.add(piece);
      if ((pieces - ANY_SIZE_PIECES) * MIN_AVERAGE_BYTES > bytes.size) {
        body.destroy(new Error(`the body comes in too many small pieces (${pieces})`));
      }
    });
    body.once('end', () => resolve(bytes.toBytes()));
    body.once('error', reject);
    body.once('close', () => reject(new Error('the body was closed before its end')));
  });
}
