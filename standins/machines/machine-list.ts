/**
 * The machine list without its network: what is true, what is published, and how much later.
 * Deterministic: the caller supplies the clock.
 */
import type { Milliseconds } from '../../src/core/units.js';
import type { Machine, MachineState } from '../../src/platform/contract.js';

/** Names one machine of the list. */
export interface MachineKey {
  readonly role: Machine['role'];
  readonly name: string;
}

/** What the list says of a machine whatever is true. */
export type ClaimedState = MachineState | 'absent';

/** One answer of the list. Entries are unchecked, since a test may put malformed ones in. */
export interface PublishedList {
  readonly version: number;
  readonly machines: readonly unknown[];
}

interface PendingChange {
  readonly visibleAt: Milliseconds;
  readonly apply: (published: Map<string, Machine>) => void;
}

function idOf(key: MachineKey): string {
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
    const id = idOf(machine);
    this.#actual.set(id, machine);
    this.#schedule(now, (published) => published.set(id, machine));
  }

  /** Marks a machine as leaving; false if there is no such machine. */
  markLeaving(key: MachineKey, now: Milliseconds): boolean {
    const machine = this.#actual.get(idOf(key));
    if (machine === undefined) return false;
    this.upsert({ ...machine, state: 'leaving' }, now);
    return true;
  }

  /** Takes a machine off; false if there is no such machine. */
  remove(key: MachineKey, now: Milliseconds): boolean {
    const id = idOf(key);
    if (!this.#actual.delete(id)) return false;
    this.#schedule(now, (published) => published.delete(id));
    return true;
  }

  /** Makes the list claim a state at once; `undefined` withdraws the claim. */
  claim(key: MachineKey, state: ClaimedState | undefined): void {
    if (state === undefined) this.#claims.delete(idOf(key));
    else this.#claims.set(idOf(key), state);
    this.#publish();
  }

  /** Adds entries to each answer as they are, to try the reader's checks. */
  setMalformed(entries: readonly unknown[]): void {
    this.#malformed = entries;
    this.#publish();
  }

  /** Delay from a change to its publication; holds for later changes, which stay in order. */
  setLag(lagMs: Milliseconds): void {
    this.#lagMs = lagMs;
  }

  /** While frozen, no change is published. */
  setFrozen(frozen: boolean): void {
    this.#frozen = frozen;
  }

  #schedule(now: Milliseconds, apply: PendingChange['apply']): void {
    const earliest = this.#pending.at(-1)?.visibleAt ?? 0;
    this.#pending.push({ visibleAt: Math.max(earliest, now + this.#lagMs), apply });
    this.publishDue(now);
  }

  /** Publishes the changes that are due; gives the time of the next one, if any. */
  publishDue(now: Milliseconds): Milliseconds | undefined {
    if (this.#frozen) return undefined;
    const due = this.#pending.filter((change) => change.visibleAt <= now);
    this.#pending = this.#pending.slice(due.length);
    for (const change of due) change.apply(this.#published);
    for (const [id, machine] of this.#published) this.#lastKnown.set(id, machine);
    if (due.length > 0) this.#publish();
    return this.#pending[0]?.visibleAt;
  }

  #publish(): void {
    this.#version += 1;
    this.onPublish?.();
  }

  /** The list as it is published. */
  published(): PublishedList {
    const machines = new Map(this.#published);
    for (const [id, state] of this.#claims) {
      const machine = this.#lastKnown.get(id) ?? this.#actual.get(id);
      if (state === 'absent') machines.delete(id);
      else if (machine !== undefined) machines.set(id, { ...machine, state });
    }
    return { version: this.#version, machines: [...machines.values(), ...this.#malformed] };
  }

  /** The machines as they really are. */
  actual(): readonly Machine[] {
    return [...this.#actual.values()];
  }
}
