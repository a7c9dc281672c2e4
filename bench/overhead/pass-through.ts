/**
 * A plain TCP pass-through, the baseline for the proxy's overhead. It forwards bytes in both directions
 * without parsing the PostgreSQL protocol. Run as a process, it prints its address as one line of JSON
 * and exits when its standard input closes.
 */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Socket } from 'node:net';
import { pathToFileURL } from 'node:url';
import { parseArgs } from 'node:util';
import { type NetworkAddress, parseAddress } from './address.js';

export interface PassThrough extends NetworkAddress {
  close(): void;
}

const LOOPBACK = '127.0.0.1';

export async function startPassThrough(target: NetworkAddress): Promise<PassThrough> {
  const openSockets = new Set<Socket>();
  const server = createServer({ noDelay: true }, (client) => {
    const upstream = connect({ ...target, noDelay: true });
    pipeBothWays(client, upstream);
    for (const socket of [client, upstream]) {
      openSockets.add(socket);
      socket.once('close', () => openSockets.delete(socket));
    }
  });
  server.listen(0, LOOPBACK);
  await once(server, 'listening');
  const { address, port } = server.address() as AddressInfo;
  const close = (): void => {
    server.close();
    for (const socket of openSockets) socket.destroy();
  };
  return { host: address, port, close };
}

/** Pipes in both directions; if one socket closes, the other is destroyed. */
function pipeBothWays(left: Socket, right: Socket): void {
  left.pipe(right);
  right.pipe(left);
  left.on('error', () => right.destroy());
  right.on('error', () => left.destroy());
  left.once('close', () => right.destroy());
  right.once('close', () => left.destroy());
}

async function main(): Promise<void> {
  const { values } = parseArgs({ options: { target: { type: 'string' } } });
  const { host, port } = await startPassThrough(parseAddress(values.target ?? ''));
  console.log(JSON.stringify({ host, port }));
  process.stdin.resume();
  process.stdin.once('end', () => process.exit(0));
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) await main();
