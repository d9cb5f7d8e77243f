/**
 * Preloaded into a daemon process with `--require`, so that it behaves as if it ran on a VM with
 * its own IP address: outgoing connections use VM_ADDRESS as their source, and the peer port is
 * bound at VM_BIND_ADDRESS so that a relay can listen at VM_ADDRESS.
 */
import * as net from 'node:net';

const vmAddress = process.env.VM_ADDRESS;
const bindAddress = process.env.VM_BIND_ADDRESS;
const peerPort = Number(process.env.VM_PEER_PORT);

type Listen = (this: net.Server, ...parameters: unknown[]) => net.Server;
type Connect = (this: net.Socket, ...parameters: unknown[]) => net.Socket;

const listen = net.Server.prototype.listen as Listen;
const connect = net.Socket.prototype.connect as Connect;

function withLocalAddress(target: unknown): unknown {
  if (Array.isArray(target)) {
    // node:net passes normalized parameters as an array that carries a private symbol.
    (target as unknown[])[0] = withLocalAddress(target[0]);
    return target;
  }
  if (typeof target !== 'object' || target === null) return target;
  return { ...target, localAddress: vmAddress };
}

if (vmAddress !== undefined) {
  net.Socket.prototype.connect = function connectFromVm(
    this: net.Socket,
    ...parameters: unknown[]
  ): net.Socket {
    const [target, ...rest] = parameters;
    return connect.call(this, withLocalAddress(target), ...rest);
  };
}

if (bindAddress !== undefined) {
  net.Server.prototype.listen = function listenOnVm(
    this: net.Server,
    ...parameters: unknown[]
  ): net.Server {
    const [target, ...rest] = parameters;
    const options = target as { port?: number; host?: string };
    const bindOptions = options?.port === peerPort ? { ...options, host: bindAddress } : target;
    return listen.call(this, bindOptions, ...rest);
  } as typeof net.Server.prototype.listen;
}
