/**
 * One node's copy of the machine list: entries with hashes, digests by bucket, and the stamp of the
 * list that they are. Changes to it are whole lists, differences between two known lists, or whole
 * buckets; each is taken only if the result is the list that its sender has, by its digest.
 */
import { BUCKET_COUNT, bucketOf } from '../membership/member-table.js';

/** Which list it is: `version` is the service's, `epoch` counts the service's steps back. */
export interface ListStamp {
  readonly epoch: number;
  readonly version: number;
}

/** One machine of the list. */
export interface ListEntry<Item> {
  /** Unique within the list. */
  readonly id: string;
  /** 64 bits over everything that the list says of the machine. */
  readonly hash: bigint;
  readonly item: Item;
}

/** What identifies a list with its contents. */
export interface ListDigest {
  readonly stamp: ListStamp;
  readonly hash: bigint;
}

/** The difference between two lists. */
export interface ListDelta<Item> {
  readonly from: ListStamp;
  readonly to: ListDigest;
  readonly changed: readonly ListEntry<Item>[];
  readonly removed: readonly string[];
}

/** All entries of some buckets of a list. */
export interface ListBuckets<Item> {
  readonly digest: ListDigest;
  readonly buckets: ReadonlyMap<number, readonly ListEntry<Item>[]>;
}

/** `known`: nothing new. `gap`: it does not follow from what is held. */
export type MergeOutcome = 'applied' | 'known' | 'gap';

/** Stamp of a node that has no list. */
export const NO_LIST: ListStamp = { epoch: 0, version: 0 };

/** Positive if the left list is the later one. */
export function compareStamps(left: ListStamp, right: ListStamp): number {
  return left.epoch - right.epoch || left.version - right.version;
}

/** Hash of a list; of entries with the same id the last one counts. */
export function hashOfEntries(entries: readonly ListEntry<unknown>[]): bigint {
  const unique = new Map(entries.map(({ id, hash }) => [id, hash]));
  return [...unique.values()].reduce((sum, hash) => sum ^ hash, 0n);
}

/** One node's copy of the list. */
export class MachineListReplica<Item> {
  #stamp = NO_LIST;
  #entries = new Map<string, ListEntry<Item>>();
  #hashes = new BigUint64Array(BUCKET_COUNT);

  /** Which list this is. */
  get stamp(): ListStamp {
    return this.#stamp;
  }

  /** Stamp and hash over all entries. */
  digest(): ListDigest {
    return { stamp: this.#stamp, hash: combined(this.#hashes) };
  }

  /** A hash for each bucket. */
  bucketHashes(): BigUint64Array {
    return this.#hashes.slice();
  }

  /** Number of machines. */
  get size(): number {
    return this.#entries.size;
  }

  /** The machines, in no order. */
  items(): Item[] {
    return [...this.#entries.values()].map(({ item }) => item);
  }

  /** Entries of the buckets whose hashes differ from another node's. */
  bucketsUnlike(hashes: BigUint64Array): ListBuckets<Item> {
    const buckets = new Map<number, ListEntry<Item>[]>();
    for (const [index, hash] of this.#hashes.entries()) {
      if (hash !== hashes[index]) buckets.set(index, []);
    }
    for (const entry of this.#entries.values()) buckets.get(bucketOf(entry.id))?.push(entry);
    return { digest: this.digest(), buckets };
  }

  /** Takes a whole list over, whatever was held; gives the difference. */
  replace(stamp: ListStamp, entries: readonly ListEntry<Item>[]): ListDelta<Item> {
    const from = this.#stamp;
    const next = new Map(entries.map((entry) => [entry.id, entry]));
    const changed = [...next.values()].filter(
      ({ id, hash }) => this.#entries.get(id)?.hash !== hash,
    );
    const removed = [...this.#entries.keys()].filter((id) => !next.has(id));
    this.#take(stamp, changed, removed);
    return { from, to: this.digest(), changed, removed };
  }

  /** Takes a difference in. */
  apply(delta: ListDelta<Item>): MergeOutcome {
    const { from, to, changed, removed } = delta;
    if (compareStamps(to.stamp, this.#stamp) <= 0) return 'known';
    if (compareStamps(from, this.#stamp) !== 0) return 'gap';
    return this.#takeIfLike(to, changed, removed) ? 'applied' : 'gap';
  }

  /** Takes whole buckets of a later list in. */
  applyBuckets({ digest, buckets }: ListBuckets<Item>): MergeOutcome {
    if (compareStamps(digest.stamp, this.#stamp) <= 0) return 'known';
    const told = [...buckets.values()].flat();
    const ids = new Set(told.map(({ id }) => id));
    const removed = [...this.#entries.keys()].filter(
      (id) => buckets.has(bucketOf(id)) && !ids.has(id),
    );
    return this.#takeIfLike(digest, told, removed) ? 'applied' : 'gap';
  }

  #takeIfLike(
    { stamp, hash }: ListDigest,
    changed: readonly ListEntry<Item>[],
    removed: readonly string[],
  ): boolean {
    let next = combined(this.#hashes);
    for (const entry of changed) next ^= entry.hash ^ this.#hashOf(entry.id);
    for (const id of removed) next ^= this.#hashOf(id);
    if (next !== hash) return false;
    this.#take(stamp, changed, removed);
    return true;
  }

  #take(stamp: ListStamp, changed: readonly ListEntry<Item>[], removed: readonly string[]): void {
    for (const entry of changed) {
      this.#toggle(entry.id, entry.hash ^ this.#hashOf(entry.id));
      this.#entries.set(entry.id, entry);
    }
    for (const id of removed) {
      this.#toggle(id, this.#hashOf(id));
      this.#entries.delete(id);
    }
    this.#stamp = stamp;
  }

  #toggle(id: string, bits: bigint): void {
    const bucket = bucketOf(id);
    this.#hashes[bucket] = (this.#hashes[bucket] ?? 0n) ^ bits;
  }

  #hashOf(id: string): bigint {
    return this.#entries.get(id)?.hash ?? 0n;
  }
}

function combined(hashes: BigUint64Array): bigint {
  return hashes.reduce((sum, hash) => sum ^ hash, 0n);
}
