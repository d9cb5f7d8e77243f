import * as addresses from './settings/Addresses';

/** Thrown when the daemon cannot listen on an address from its settings. */
export class StartError extends Error {
  public constructor(setting: string, address: string, cause: Error) {
    super(`cannot listen on ${setting} ${address}: ${cause.message}`, { cause });
    this.name = 'StartError';
  }
}

/** Listens on an address from the settings. Rejects with a `StartError`. */
export async function listen(
  setting: string,
  address: string,
  server: { listen(host: string, port: number): Promise<void> },
): Promise<void> {
  const { host, port } = addresses.split(address);
  try {
    await server.listen(host, port);
  } catch (error) {
    throw new StartError(setting, address, error as Error);
  }
}
