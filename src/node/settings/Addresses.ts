import * as net from 'node:net';

const MAX_PORT = 65_535;

/** Splits an IP address and a port, as in `10.0.0.1:8080` or `[::1]:8080`. */
export function split(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  return { host, port: Number(address.slice(colon + 1)) };
}

/**
 * Whether `text` is an IP address and a port from 1 to 65535. IPv6 needs brackets, and must not have a
 * zone as in `fe80::1%eth0`: it has a meaning on one machine only, and cannot be part of a URL.
 */
export function isAddress(text: string): boolean {
  const match = /^(\[[^\]%]+\]|[^:[\]]+):(\d{1,5})$/.exec(text);
  if (match === null) return false;
  const [, host = '', port = ''] = match;
  const version = net.isIP(host.replace(/^\[(.*)\]$/, '$1'));
  const isBracketed = host.startsWith('[');
  return version === (isBracketed ? 6 : 4) && Number(port) >= 1 && Number(port) <= MAX_PORT;
}
