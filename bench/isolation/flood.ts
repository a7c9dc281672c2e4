/** What the noisy tenant does, and the process that does it. */
import { once } from 'node:events';
import { createInterface, type Interface } from 'node:readline';
import { z } from 'zod';
import { type StartedChild, startChild } from '../harness/child-process.js';
import type { ProxyEndpoint } from './tenant-sessions.js';

export const FLOOD_KINDS = ['requests', 'long-statements', 'idle-transactions'] as const;
export type FloodKind = (typeof FLOOD_KINDS)[number];

export const floodCountsSchema = z.object({
  /** Requests that were meant to start. */
  offered: z.number(),
  done: z.number(),
  refused: z.number(),
});
export type FloodCounts = z.output<typeof floodCountsSchema>;

const readySchema = z.object({ ready: z.literal(true) });

/** A process of its own, so that its work is not on the clock of the quiet tenant's load. */
export class Flood {
  private constructor(
    private readonly child: StartedChild<z.output<typeof readySchema>>,
    private readonly lines: Interface,
  ) {}

  static async start(proxies: readonly ProxyEndpoint[], seed: number): Promise<Flood> {
    const addresses = proxies.map(({ host, port }) => `${host}:${port}`).join(',');
    const flags = [`--proxies=${addresses}`, `--seed=${seed}`];
    const child = await startChild('bench/isolation/flood-process.js', flags, readySchema);
    const { stdout } = child.process;
    if (stdout === null) throw new RangeError('the flood has no output');
    return new Flood(child, createInterface({ input: stdout }));
  }

  begin(kind: FloodKind): void {
    this.child.process.stdin?.write(`${kind}\n`);
  }

  /** Ends what goes on and resolves with its counts. */
  async end(): Promise<FloodCounts> {
    const line = once(this.lines, 'line') as Promise<[string]>;
    this.child.process.stdin?.write('end\n');
    const [text] = await line;
    return floodCountsSchema.parse(JSON.parse(text));
  }

  stop(): Promise<void> {
    return this.child.stop();
  }
}
