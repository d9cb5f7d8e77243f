/** Thrown when the daemon cannot listen on an address from its settings. */
export class StartError extends Error {
  public constructor(setting: string, address: string, cause: Error) {
    super(`cannot listen on ${setting} ${address}: ${cause.message}`, { cause });
    this.name = 'StartError';
  }
}
