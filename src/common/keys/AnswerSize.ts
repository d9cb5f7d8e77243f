import type * as callTypes from '../call/Types';

/** Bytes that a stored answer counts for. */
export function answerSize(answer: callTypes.IAnswer): number {
  const headerSize = answer.headers.reduce((total, text) => total + text.length, 0);
  return 1 + headerSize + answer.body.length;
}
