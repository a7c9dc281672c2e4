/** The kinds of flood of the noisy tenant, and a client of the process that runs them. */
import { once } from 'node:events';
import { createInterface, type Interface } from 'node:readline';
import { z } from 'zod';
import { type StartedChild, startChild } from '../harness/child-process.js';
import type { ProxyEndpoint } from './tenant-sessions.js';

export const FLOOD_KINDS = ['requests', 'long-statements', 'idle-transactions'] as const;
export type FloodKind = (typeof FLOOD_KINDS)[number];

export const floodCountsSchema = z.object({
  /** Requests that were due, whether or not they were sent. */
  offered: z.number(),
  done: z.number(),
  refused: z.number(),
});
export type FloodCounts = z.output<typeof floodCountsSchema>;

const begunSchema = z.object({ begun: z.literal(true) });
const readySchema = z.object({ ready: z.literal(true) });

/** Program that floods `meadowstack proxy`. */
const POSTGRES_FLOOD_PROGRAM = 'bench/isolation/flood-process.js';

/** Runs the flood in a separate process, so that it doesn't delay the quiet tenant's load generator. */
export class Flood {
  private constructor(
    private readonly child: StartedChild<z.output<typeof readySchema>>,
    private readonly lines: Interface,
  ) {}

  static async start(
    proxies: readonly ProxyEndpoint[],
    seed: number,
    program = POSTGRES_FLOOD_PROGRAM,
  ): Promise<Flood> {
    const addresses = proxies.map(({ host, port }) => `${host}:${port}`).join(',');
    const flags = [`--proxies=${addresses}`, `--seed=${seed}`];
    const child = await startChild(program, flags, readySchema);
    const { stdout } = child.process;
    if (stdout === null) throw new RangeError('the flood process has no standard output');
    return new Flood(child, createInterface({ input: stdout }));
  }

  /** Starts a flood; resolves once the noisy tenant is connected and the flood runs. */
  async begin(kind: FloodKind): Promise<void> {
    begunSchema.parse(await this.#sendCommand(kind));
  }

  /** Ends the running flood and resolves with its counts. */
  async end(): Promise<FloodCounts> {
    return floodCountsSchema.parse(await this.#sendCommand('end'));
  }

  stop(): Promise<void> {
    return this.child.stop();
  }

  async #sendCommand(line: string): Promise<unknown> {
    const answer = once(this.lines, 'line') as Promise<[string]>;
    this.child.process.stdin?.write(`${line}\n`);
    const [text] = await answer;
    return JSON.parse(text);
  }
}
