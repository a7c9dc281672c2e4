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

const begunSchema = z.object({ begun: z.literal(true) });
const readySchema = z.object({ ready: z.literal(true) });

/** Floods `meadowstack proxy`. */
const POSTGRES_FLOOD = 'bench/isolation/flood-process.js';

/** A process of its own, so that its work is not on the clock of the quiet tenant's load. */
export class Flood {
  private constructor(
    private readonly child: StartedChild<z.output<typeof readySchema>>,
    private readonly lines: Interface,
  ) {}

  static async start(
    proxies: readonly ProxyEndpoint[],
    seed: number,
    program = POSTGRES_FLOOD,
  ): Promise<Flood> {
    const addresses = proxies.map(({ host, port }) => `${host}:${port}`).join(',');
    const flags = [`--proxies=${addresses}`, `--seed=${seed}`];
    const child = await startChild(program, flags, readySchema);
    const { stdout } = child.process;
    if (stdout === null) throw new RangeError('the flood has no output');
    return new Flood(child, createInterface({ input: stdout }));
  }

  /** Resolves once the noisy tenant is connected and floods. */
  async begin(kind: FloodKind): Promise<void> {
    begunSchema.parse(await this.#ask(kind));
  }

  /** Ends what goes on and resolves with its counts. */
  async end(): Promise<FloodCounts> {
    return floodCountsSchema.parse(await this.#ask('end'));
  }

  stop(): Promise<void> {
    return this.child.stop();
  }

  async #ask(line: string): Promise<unknown> {
    const answer = once(this.lines, 'line') as Promise<[string]>;
    this.child.process.stdin?.write(`${line}\n`);
    const [text] = await answer;
    return JSON.parse(text);
  }
}
