/**
 * One node's replica of the machine list: its entries with hashes, a hash for each bucket and the
 * list's stamp. It is updated by whole lists, by differences between two known lists or by whole
 * buckets. A difference or bucket is applied only if the resulting hash equals that of the sender's
 * list.
 */
import { BUCKET_COUNT, bucketOf } from '../membership/member-table.js';

/** Identifies a list: `version` is the service's; `epoch` counts the service's version resets. */
export interface ListStamp {
  readonly epoch: number;
  readonly version: number;
}

/** One machine of the list. */
export interface ListEntry<Item> {
  /** Unique within the list. */
  readonly id: string;
  /** 64-bit hash of the machine's complete entry. */
  readonly hash: bigint;
  readonly item: Item;
}

/** Identifies a list and its contents. */
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

/** All entries of selected buckets of a list. */
export interface ListBuckets<Item> {
  readonly digest: ListDigest;
  readonly buckets: ReadonlyMap<number, readonly ListEntry<Item>[]>;
}

/** `known`: not newer than this list. `gap`: can't be applied to this list. */
export type MergeOutcome = 'applied' | 'known' | 'gap';

/** Stamp of a node that has no list yet. */
export const NO_LIST_STAMP: ListStamp = { epoch: 0, version: 0 };

/** Positive if the left list is later, negative if the right one is. */
export function compareStamps(left: ListStamp, right: ListStamp): number {
  return left.epoch - right.epoch || left.version - right.version;
}

/** Hash of a list; if several entries have the same id, the last one is used. */
export function hashEntries(entries: readonly ListEntry<unknown>[]): bigint {
  const unique = new Map(entries.map(({ id, hash }) => [id, hash]));
  return [...unique.values()].reduce((sum, hash) => sum ^ hash, 0n);
}

/** One node's replica of the list. */
export class MachineListReplica<Item> {
  #stamp = NO_LIST_STAMP;
  #entries = new Map<string, ListEntry<Item>>();
  #bucketHashes = new BigUint64Array(BUCKET_COUNT);

  /** Stamp of this list. */
  get stamp(): ListStamp {
    return this.#stamp;
  }

  /** Stamp and hash over all entries. */
  digest(): ListDigest {
    return { stamp: this.#stamp, hash: xorOfHashes(this.#bucketHashes) };
  }

  /** A hash for each bucket. */
  bucketHashes(): BigUint64Array {
    return this.#bucketHashes.slice();
  }

  /** Number of machines. */
  get size(): number {
    return this.#entries.size;
  }

  /** The machines, in no particular order. */
  items(): Item[] {
    return [...this.#entries.values()].map(({ item }) => item);
  }

  /** Entries of the buckets whose hashes differ from another node's. */
  differingBuckets(hashes: BigUint64Array): ListBuckets<Item> {
    const buckets = new Map<number, ListEntry<Item>[]>();
    for (const [index, hash] of this.#bucketHashes.entries()) {
      if (hash !== hashes[index]) buckets.set(index, []);
    }
    for (const entry of this.#entries.values()) buckets.get(bucketOf(entry.id))?.push(entry);
    return { digest: this.digest(), buckets };
  }

  /** Replaces the whole list unconditionally and returns the difference. */
  replace(stamp: ListStamp, entries: readonly ListEntry<Item>[]): ListDelta<Item> {
    const from = this.#stamp;
    const next = new Map(entries.map((entry) => [entry.id, entry]));
    const changed = [...next.values()].filter(
      ({ id, hash }) => this.#entries.get(id)?.hash !== hash,
    );
    const removed = [...this.#entries.keys()].filter((id) => !next.has(id));
    this.#applyChanges(stamp, changed, removed);
    return { from, to: this.digest(), changed, removed };
  }

  /** Applies a difference if it starts at this list. */
  apply(delta: ListDelta<Item>): MergeOutcome {
    const { from, to, changed, removed } = delta;
    if (compareStamps(to.stamp, this.#stamp) <= 0) return 'known';
    if (compareStamps(from, this.#stamp) !== 0) return 'gap';
    return this.#applyIfHashMatches(to, changed, removed) ? 'applied' : 'gap';
  }

  /** Replaces whole buckets by those of a later list. */
  applyBuckets({ digest, buckets }: ListBuckets<Item>): MergeOutcome {
    if (compareStamps(digest.stamp, this.#stamp) <= 0) return 'known';
    const receivedEntries = [...buckets.values()].flat();
    const receivedIds = new Set(receivedEntries.map(({ id }) => id));
    const removed = [...this.#entries.keys()].filter(
      (id) => buckets.has(bucketOf(id)) && !receivedIds.has(id),
    );
    return this.#applyIfHashMatches(digest, receivedEntries, removed) ? 'applied' : 'gap';
  }

  #applyIfHashMatches(
    { stamp, hash }: ListDigest,
    changed: readonly ListEntry<Item>[],
    removed: readonly string[],
  ): boolean {
    let resultingHash = xorOfHashes(this.#bucketHashes);
    for (const entry of changed) resultingHash ^= entry.hash ^ this.#hashOf(entry.id);
    for (const id of removed) resultingHash ^= this.#hashOf(id);
    if (resultingHash !== hash) return false;
    this.#applyChanges(stamp, changed, removed);
    return true;
  }

  #applyChanges(
    stamp: ListStamp,
    changed: readonly ListEntry<Item>[],
    removed: readonly string[],
  ): void {
    for (const entry of changed) {
      this.#xorIntoBucketHash(entry.id, entry.hash ^ this.#hashOf(entry.id));
      this.#entries.set(entry.id, entry);
    }
    for (const id of removed) {
      this.#xorIntoBucketHash(id, this.#hashOf(id));
      this.#entries.delete(id);
    }
    this.#stamp = stamp;
  }

  #xorIntoBucketHash(id: string, bits: bigint): void {
    const bucket = bucketOf(id);
    this.#bucketHashes[bucket] = (this.#bucketHashes[bucket] ?? 0n) ^ bits;
  }

  #hashOf(id: string): bigint {
    return this.#entries.get(id)?.hash ?? 0n;
  }
}

function xorOfHashes(hashes: BigUint64Array): bigint {
  return hashes.reduce((sum, hash) => sum ^ hash, 0n);
}
