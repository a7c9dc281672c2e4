/**
 * The platform's machine list as the nodes of a scale run see it: proxies and instances in proportion to
 * the nodes, marks that come and go, long polls that give the whole list.
 */
import type { Milliseconds } from '../src/core/units.js';
import type { Machine } from '../src/platform/contract.js';
import { machinesOf } from './components/machine-list.js';
import type { NodePlace } from './hollow-node.js';

/** Head of an HTTP request or answer with its network headers, bytes. */
const HTTP_OVERHEAD_BYTES = 260;

/** What a poll is answered. */
export interface ListText {
  readonly version: number;
  readonly text: string;
}

/** The list service. */
export class SimulatedMachineList {
  /** When each version was published. */
  readonly publishedAt = new Map<number, Milliseconds>();
  readonly #machines: Machine[];
  #version = 1;
  #current: ListText;
  #waiters: (() => void)[] = [];

  constructor(places: readonly NodePlace[], groups: number) {
    this.#machines = machinesOf(places, groups);
    this.#current = this.#written();
  }

  get version(): number {
    return this.#version;
  }

  /** Marks a database instance as leaving, or takes its mark away. */
  toggle(share: number, now: Milliseconds): void {
    const databases = this.#machines.filter(({ role }) => role === 'database');
    const chosen = databases[Math.floor(share * databases.length)];
    if (chosen === undefined) return;
    const state = chosen.state === 'leaving' ? 'live' : 'leaving';
    this.#machines[this.#machines.indexOf(chosen)] = { ...chosen, state };
    this.#version += 1;
    this.publishedAt.set(this.#version, now);
    this.#current = this.#written();
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }

  /** The list now. */
  answer(): ListText {
    return this.#current;
  }

  /** Calls back once there is another version. */
  onNext(wake: () => void): void {
    this.#waiters.push(wake);
  }

  /** Bytes of a poll with its answer. */
  pollBytes(): number {
    return 2 * HTTP_OVERHEAD_BYTES + this.#current.text.length;
  }

  #written(): ListText {
    const version = this.#version;
    return { version, text: JSON.stringify({ version, machines: this.#machines }) };
  }
}
