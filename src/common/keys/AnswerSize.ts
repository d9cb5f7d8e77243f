import type * as callTypes from '../call/Types';

/** Returns the size of an answer, as counted towards the limits on stored answers. */
export function answerSize(answer: callTypes.IAnswer): number {
  const headerSize = answer.headers.reduce((total, text) => total + text.length, 0);
  return 1 + headerSize + answer.body.length;
}
