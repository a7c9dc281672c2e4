/**
 * Addresses that this node may ask for a snapshot: those that its settings name, those that the store
 * named while it could be heard, and those of nodes that have asked. No I/O.
 */
import type { PeerAddress } from '../../peer/contract.js';

/** Nodes beyond the settings' own that are kept; the one that was heard of longest ago goes first. */
const MAX_LEARNED = 64;

export class PeerList {
  /** In the order in which they were heard of last. */
  readonly #learned = new Map<string, PeerAddress>();
  readonly #seeds: ReadonlyMap<string, PeerAddress>;

  constructor(
    private readonly own: PeerAddress,
    seeds: readonly PeerAddress[],
  ) {
    const others = seeds.filter((seed) => keyOf(seed) !== keyOf(own));
    this.#seeds = new Map(others.map((seed) => [keyOf(seed), seed]));
  }

  get size(): number {
    return this.#seeds.size + this.#learned.size;
  }

  /** A node may be at this address. */
  noteKnown(address: PeerAddress): void {
    const key = keyOf(address);
    if (key === keyOf(this.own) || this.#seeds.has(key)) return;
    this.#learned.delete(key);
    this.#learned.set(key, address);
    const oldest = this.#learned.keys().next();
    if (this.#learned.size > MAX_LEARNED && !oldest.done) this.#learned.delete(oldest.value);
  }

  /** Whom to ask: at most so many, from a place in the list of all; `from` is in [0, 1). */
  toAsk(atMost: number, from: number): PeerAddress[] {
    const all = [...this.#seeds.values(), ...this.#learned.values()];
    const start = Math.floor(from * all.length);
    return [...all.slice(start), ...all.slice(0, start)].slice(0, atMost);
  }
}

function keyOf({ host, port }: PeerAddress): string {
  return `${host}:${port}`;
}
