/** Ports for the gateways of a test. */
import { createServer } from 'node:net';
import { listen } from '../../standins/common/process.js';

const HOST = '127.0.0.1';

/**
 * A gateway's ports: callers, readiness, and three in a row for other nodes. They lie below the ports
 * that systems give to outgoing connections: those may be taken before the gateway listens. Each test
 * process begins elsewhere, as several run at once.
 */
const PORTS_A_GATEWAY = 5;
const FIRST_PORT = 10_000;
const END_PORT = 32_000;
const PROCESS_STRIDE = 997;
let nextPort = FIRST_PORT + ((process.pid * PROCESS_STRIDE) % (END_PORT - FIRST_PORT));

/** The first of as many ports in a row as a gateway needs, all free a moment ago. */
export async function freePortRow(): Promise<number> {
  for (;;) {
    if (nextPort + PORTS_A_GATEWAY > END_PORT) nextPort = FIRST_PORT;
    const first = nextPort;
    nextPort += PORTS_A_GATEWAY;
    const row = Array.from({ length: PORTS_A_GATEWAY }, (_, index) => first + index);
    const areFree = await Promise.all(row.map(isFree));
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
