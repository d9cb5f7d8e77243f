const MIN_INFORMATIONAL = 100;
const MIN_FINAL = 200;
const MAX_FINAL = 599;

/** Whether a status announces that an answer is still to come. */
export function isInformational(status: number): boolean {
  return status >= MIN_INFORMATIONAL && status < MIN_FINAL;
}

/** Whether a status is one of an answer. HTTP defines none beyond 599. */
export function isFinal(status: number): boolean {
  return Number.isInteger(status) && status >= MIN_FINAL && status <= MAX_FINAL;
}
