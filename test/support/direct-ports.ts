/** Ports for the gateways of a test. */
import { createServer } from 'node:net';
import { listen } from '../../standins/common/process.js';

const HOST = '127.0.0.1';

/**
 * A gateway's ports: callers, readiness, and three consecutive ones for other nodes. They are below the range for
 * outgoing connections, whose ports may be taken before the gateway listens. Test processes run concurrently, so
 * each begins at a different port.
 */
const PORTS_PER_GATEWAY = 5;
const FIRST_PORT = 10_000;
const END_PORT = 32_000;
const PROCESS_STRIDE = 997;
let nextPort = FIRST_PORT + ((process.pid * PROCESS_STRIDE) % (END_PORT - FIRST_PORT));

/** Finds `PORTS_PER_GATEWAY` consecutive free ports; returns the first. */
export async function findFreePorts(): Promise<number> {
  for (;;) {
    if (nextPort + PORTS_PER_GATEWAY > END_PORT) nextPort = FIRST_PORT;
    const first = nextPort;
    nextPort += PORTS_PER_GATEWAY;
    const ports = Array.from({ length: PORTS_PER_GATEWAY }, (_, index) => first + index);
    const areFree = await Promise.all(ports.map(isFree));
    if (areFree.every((free) => free)) return first;
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    await listen(server, HOST, port);
  } catch {
    return false;
  }
  await new Promise((resolve) => server.close(resolve));
  return true;
}
