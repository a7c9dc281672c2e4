/**
 * Entries of one kind by their ids, as read from the store and updated by watches. Reports what changed.
 * Updates older than the known state are skipped, so that receiving a change twice is harmless.
 */

/** One entry as the store has it. */
export interface StoredEntry<Entry> {
  readonly id: string;
  /** Undefined if the value can't be parsed; the previously known entry is then kept. */
  readonly entry: Entry | undefined;
  readonly revision: number;
}

/** An entry that was removed. */
export interface RemovedEntry<Entry> {
  readonly id: string;
  /** Revision of the removal; for a removal found by a read, revision of the read. */
  readonly revision: number;
  /** The last known entry. */
  readonly entry: Entry;
}

/** The changes made by one read or by a batch of updates. */
export interface DirectoryChange<Entry> {
  /** Ids that were added or whose entry has changed. */
  readonly put: readonly string[];
  readonly removed: readonly RemovedEntry<Entry>[];
}

export type EntryUpdate<Entry> =
  | { readonly type: 'put'; readonly stored: StoredEntry<Entry> }
  | { readonly type: 'delete'; readonly id: string; readonly revision: number };

export class EntryDirectory<Entry> {
  readonly #entries = new Map<string, Entry>();
  readonly #revisions = new Map<string, number>();

  /** @param isSame whether two entries of one id are equal */
  constructor(private readonly isSame: (left: Entry, right: Entry) => boolean) {}

  /** All entries. The map is not a copy and changes with the directory. */
  entries(): ReadonlyMap<string, Entry> {
    return this.#entries;
  }

  /** Applies a complete read: removes entries that are absent from it and not newer than it. */
  replace(all: readonly StoredEntry<Entry>[], revision: number): DirectoryChange<Entry> {
    const present = new Set(all.map(({ id }) => id));
    const missingIds = [...this.#entries.keys()].filter((id) => !present.has(id));
    return this.update([
      ...missingIds.map((id) => ({ type: 'delete' as const, id, revision })),
      ...all.map((stored) => ({ type: 'put' as const, stored })),
    ]);
  }

  /** Applies updates in the given order. */
  update(updates: readonly EntryUpdate<Entry>[]): DirectoryChange<Entry> {
    const put = new Set<string>();
    const removed = new Map<string, RemovedEntry<Entry>>();
    for (const update of updates) {
      if (update.type === 'delete') {
        const entry = this.#remove(update.id, update.revision);
        if (entry === undefined) continue;
        put.delete(update.id);
        removed.set(update.id, { id: update.id, revision: update.revision, entry });
      } else if (this.#put(update.stored)) {
        put.add(update.stored.id);
        removed.delete(update.stored.id);
      }
    }
    return { put: [...put], removed: [...removed.values()] };
  }

  #put({ id, entry, revision }: StoredEntry<Entry>): boolean {
    if (revision <= (this.#revisions.get(id) ?? 0)) return false;
    this.#revisions.set(id, revision);
    const known = this.#entries.get(id);
    if (entry === undefined || (known !== undefined && this.isSame(known, entry))) return false;
    this.#entries.set(id, entry);
    return true;
  }

  #remove(id: string, revision: number): Entry | undefined {
    if (revision < (this.#revisions.get(id) ?? 0)) return undefined;
    const entry = this.#entries.get(id);
    this.#entries.delete(id);
    this.#revisions.delete(id);
    return entry;
  }
}
