/**
 * The platform's machine list as the nodes of a scale run see it: proxies, instances in proportion to them,
 * `leaving` marks that are set and removed, and long polls that return the whole list.
 */
import type { Milliseconds } from '../src/core/units.js';
import type { Machine } from '../src/platform/contract.js';
import { createMachines } from './components/machine-list.js';
import type { NodeLocation } from './hollow-node.js';

/** Header of an HTTP request or response, with network headers. */
const HTTP_OVERHEAD_BYTES = 260;

/** Response to a poll. */
export interface MachineListResponse {
  readonly version: number;
  readonly text: string;
}

export class SimulatedMachineList {
  /** Publication time by version. */
  readonly publishedAt = new Map<number, Milliseconds>();
  readonly #machines: Machine[];
  #version = 1;
  #current: MachineListResponse;
  #waiters: (() => void)[] = [];

  constructor(locations: readonly NodeLocation[], groups: number) {
    this.#machines = createMachines(locations, groups);
    this.#current = this.#createResponse();
  }

  get version(): number {
    return this.#version;
  }

  /**
   * Marks a database instance as leaving, or removes its mark.
   * @param fraction in [0, 1); selects the instance
   */
  toggleLeaving(fraction: number, now: Milliseconds): void {
    const databases = this.#machines.filter(({ role }) => role === 'database');
    const chosen = databases[Math.floor(fraction * databases.length)];
    if (chosen === undefined) return;
    const state = chosen.state === 'leaving' ? 'live' : 'leaving';
    this.#machines[this.#machines.indexOf(chosen)] = { ...chosen, state };
    this.#version += 1;
    this.publishedAt.set(this.#version, now);
    this.#current = this.#createResponse();
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }

  /** The current list. */
  response(): MachineListResponse {
    return this.#current;
  }

  /** Calls back once, at the next version. */
  onNextVersion(wake: () => void): void {
    this.#waiters.push(wake);
  }

  /** Bytes of a poll with its response. */
  pollBytes(): number {
    return 2 * HTTP_OVERHEAD_BYTES + this.#current.text.length;
  }

  #createResponse(): MachineListResponse {
    const version = this.#version;
    return { version, text: JSON.stringify({ version, machines: this.#machines }) };
  }
}
