/**
 * The machine list without its network: the actual machines, the published ones, and the delay
 * between them. Deterministic: the caller passes the time.
 */
import type { Milliseconds } from '../../src/core/units.js';
import type { Machine, MachineState } from '../../src/platform/contract.js';

/** Identifies one machine of the list. */
export interface MachineKey {
  readonly role: Machine['role'];
  readonly name: string;
}

/** State that the list reports for a machine regardless of its actual state. */
export type ClaimedState = MachineState | 'absent';

/** One response of the list. Its entries are unchecked, since a test may add malformed ones. */
export interface PublishedList {
  readonly version: number;
  readonly machines: readonly unknown[];
}

interface PendingChange {
  readonly publishAt: Milliseconds;
  readonly apply: (published: Map<string, Machine>) => void;
}

function machineIdOf(key: MachineKey): string {
  return `${key.role}/${key.name}`;
}

export class MachineList {
  readonly #actual = new Map<string, Machine>();
  readonly #published = new Map<string, Machine>();
  readonly #lastKnown = new Map<string, Machine>();
  readonly #claims = new Map<string, ClaimedState>();
  #pending: PendingChange[] = [];
  #malformed: readonly unknown[] = [];
  #version = 1;
  #lagMs: Milliseconds;
  #frozen = false;
  /** Called after each change of the published list. */
  onPublish: (() => void) | undefined;

  constructor(lagMs: Milliseconds) {
    this.#lagMs = lagMs;
  }

  get version(): number {
    return this.#version;
  }

  /** Adds or replaces a machine. */
  upsert(machine: Machine, now: Milliseconds): void {
    const id = machineIdOf(machine);
    this.#actual.set(id, machine);
    this.#schedule(now, (published) => published.set(id, machine));
  }

  /** Marks a machine as leaving; false if there is no such machine. */
  markLeaving(key: MachineKey, now: Milliseconds): boolean {
    const machine = this.#actual.get(machineIdOf(key));
    if (machine === undefined) return false;
    this.upsert({ ...machine, state: 'leaving' }, now);
    return true;
  }

  /** Removes a machine; false if there is no such machine. */
  remove(key: MachineKey, now: Milliseconds): boolean {
    const id = machineIdOf(key);
    if (!this.#actual.delete(id)) return false;
    this.#schedule(now, (published) => published.delete(id));
    return true;
  }

  /** Makes the list report a state immediately; `undefined` ends that. */
  claim(key: MachineKey, state: ClaimedState | undefined): void {
    if (state === undefined) this.#claims.delete(machineIdOf(key));
    else this.#claims.set(machineIdOf(key), state);
    this.#publish();
  }

  /** Adds these entries unchanged to each response, to test the validation of the reader. */
  setMalformed(entries: readonly unknown[]): void {
    this.#malformed = entries;
    this.#publish();
  }

  /** Sets the delay from a change to its publication. Applies to later changes, which stay in order. */
  setLag(lagMs: Milliseconds): void {
    this.#lagMs = lagMs;
  }

  /** While frozen, no change is published. */
  setFrozen(frozen: boolean): void {
    this.#frozen = frozen;
  }

  #schedule(now: Milliseconds, apply: PendingChange['apply']): void {
    const earliest = this.#pending.at(-1)?.publishAt ?? 0;
    this.#pending.push({ publishAt: Math.max(earliest, now + this.#lagMs), apply });
    this.publishDue(now);
  }

  /** Publishes the changes that are due; returns the time of the next one, if any. */
  publishDue(now: Milliseconds): Milliseconds | undefined {
    if (this.#frozen) return undefined;
    const due = this.#pending.filter((change) => change.publishAt <= now);
    this.#pending = this.#pending.slice(due.length);
    for (const change of due) change.apply(this.#published);
    for (const [id, machine] of this.#published) this.#lastKnown.set(id, machine);
    if (due.length > 0) this.#publish();
    return this.#pending[0]?.publishAt;
  }

  #publish(): void {
    this.#version += 1;
    this.onPublish?.();
  }

  /** The published list. */
  published(): PublishedList {
    const machines = new Map(this.#published);
    for (const [id, state] of this.#claims) {
      const machine = this.#lastKnown.get(id) ?? this.#actual.get(id);
      if (state === 'absent') machines.delete(id);
      else if (machine !== undefined) machines.set(id, { ...machine, state });
    }
    return { version: this.#version, machines: [...machines.values(), ...this.#malformed] };
  }

  /** The actual machines. */
  actual(): readonly Machine[] {
    return [...this.#actual.values()];
  }
}
