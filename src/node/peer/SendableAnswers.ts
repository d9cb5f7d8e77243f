import * as http from 'node:http';

import * as statuses from '../../common/call/Statuses';
import type * as peer from './generated/peer';

/** Whether the answer in a message can be sent to a caller: Node.js throws for other headers. */
export function isSendable({ status, headers }: peer.StoredAnswer): boolean {
  if (!statuses.isFinal(status) || headers.length % 2 !== 0) return false;
  try {
    headers.forEach((text, index) => {
      if (index % 2 === 0) http.validateHeaderName(text);
      else http.validateHeaderValue('', text);
    });
    return true;
  } catch {
    return false;
  }
}
