/**
 * Addresses to which this node may send requests for a snapshot: those in its settings, those learned from
 * the store while it was reachable, and those of nodes that sent requests. No I/O.
 */
import type { PeerAddress } from '../../peer/contract.js';

/** Maximum addresses besides those in the settings; the least recently added is removed first. */
const MAX_LEARNED = 64;

export class PeerList {
  /** In the order in which they were last added. */
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

  /** Adds an address at which a node may be. */
  add(address: PeerAddress): void {
    const key = keyOf(address);
    if (key === keyOf(this.own) || this.#seeds.has(key)) return;
    this.#learned.delete(key);
    this.#learned.set(key, address);
    const oldest = this.#learned.keys().next();
    if (this.#learned.size > MAX_LEARNED && !oldest.done) this.#learned.delete(oldest.value);
  }

  /** Up to `maxCount` addresses, starting at the fraction `from` in [0, 1) of the list and wrapping around. */
  select(maxCount: number, from: number): PeerAddress[] {
    const all = [...this.#seeds.values(), ...this.#learned.values()];
    const start = Math.floor(from * all.length);
    return [...all.slice(start), ...all.slice(0, start)].slice(0, maxCount);
  }
}

function keyOf({ host, port }: PeerAddress): string {
  return `${host}:${port}`;
}
