/** Functions of every stand-in process: listen, announce its ports, exit with its parent. */
import type { Server } from 'node:net';
import { setTimeout } from 'node:timers/promises';

/** Listens and returns the bound port. Rejects with Node's error if the address can't be bound. */
export function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      const address = server.address();
      resolve(typeof address === 'object' && address !== null ? address.port : port);
    });
  });
}

const RELISTEN_RETRY_DELAY_MS = 20;
const MAX_RELISTEN_ATTEMPTS = 250;

/**
 * Listens again on a port that was closed for a while. An outgoing connection may use the port
 * meanwhile, so this retries for several seconds.
 */
export async function listenAgain(server: Server, host: string, port: number): Promise<void> {
  for (let attempts = 1; ; attempts += 1) {
    try {
      await listen(server, host, port);
      return;
    } catch (error) {
      if (attempts >= MAX_RELISTEN_ATTEMPTS) throw error;
      await setTimeout(RELISTEN_RETRY_DELAY_MS);
    }
  }
}

/** Writes the first line of stdout: a JSON object with the bound ports. */
export function announcePorts(ports: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify(ports)}\n`);
}

/**
 * Exits the process when its stdin closes, so that it does not outlive the harness that spawned it,
 * and on SIGTERM and SIGINT.
 */
export function exitWithParent(): void {
  const exit = (): void => process.exit(0);
  process.stdin.on('end', exit);
  process.stdin.on('close', exit);
  process.stdin.on('error', exit);
  process.stdin.resume();
  process.on('SIGTERM', exit);
  process.on('SIGINT', exit);
}
