import type * as http from 'node:http';

import * as linkPace from '../../common/transfer/LinkPace';
import type * as types from '../../common/Types';

/** Writes large bodies to callers in pieces, at the pace of the link and of the caller. */
export class PacedWriter {
  public constructor(
    private readonly pace: linkPace.LinkPace,
    private readonly clock: types.IClock,
  ) {}

  /** Writes a body and ends the response, at once if the body is small. */
  public end(response: http.ServerResponse, body: Uint8Array): void {
    if (body.length <= linkPace.SMALL_BODY_BYTES) response.end(body);
    else this.writeFrom(response, body, 0);
  }

  private writeFrom(response: http.ServerResponse, body: Uint8Array, start: number): void {
    let position = start;
    let delayMs = 0;
    let hasRoom = true;
    while (delayMs === 0 && hasRoom && !response.destroyed) {
      const piece = body.subarray(position, position + linkPace.PIECE_BYTES);
      position += piece.length;
      if (position >= body.length) {
        response.end(piece);
        return;
      }
      hasRoom = response.write(piece);
      delayMs = this.pace.pass(piece.length);
    }
    if (response.destroyed) return;
    const goOn = () => this.writeFrom(response, body, position);
    if (hasRoom) this.goOnAfter(response, delayMs, goOn);
    else response.once('drain', () => this.goOnAfter(response, delayMs, goOn));
  }

  private goOnAfter(response: http.ServerResponse, delayMs: number, goOn: () => void): void {
    let timer: types.IDisposable | undefined;
    const onClosed = () => timer?.dispose();
    timer = this.clock.setTimer(delayMs, () => {
      response.off('close', onClosed);
      goOn();
    });
    response.once('close', onClosed);
  }
}
