/** What every stand-in process does: listen, announce its ports, end with its parent. */
import type { Server } from 'node:net';
import { setTimeout } from 'node:timers/promises';

/** Listens and returns the bound port. Rejects with node's error if the address can't be bound. */
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

const RELISTEN_PAUSE_MS = 20;
const RELISTEN_TRIES = 250;

/**
 * Listens again on a port that was closed for a while. An outgoing connection may have taken the
 * port meanwhile, so it is tried for some seconds.
 */
export async function listenAgain(server: Server, host: string, port: number): Promise<void> {
  for (let tries = 1; ; tries += 1) {
    try {
      await listen(server, host, port);
      return;
    } catch (error) {
      if (tries >= RELISTEN_TRIES) throw error;
      await setTimeout(RELISTEN_PAUSE_MS);
    }
  }
}

/** Writes the first line of stdout: a JSON object with the bound ports. */
export function announce(ports: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify(ports)}\n`);
}

/**
 * Ends the process when its stdin closes, so that no child outlives the harness that spawned it,
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
