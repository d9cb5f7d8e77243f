import * as addresses from './settings/Addresses';

/** An address of the settings cannot be used. */
export class StartError extends Error {
  public constructor(setting: string, address: string, cause: Error) {
    super(`cannot listen on ${setting} ${address}: ${cause.message}`, { cause });
    this.name = 'StartError';
  }
}

/** Listens on an address of the settings. Rejects with a `StartError`. */
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
