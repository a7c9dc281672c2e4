/**
 * Entries of one kind by their ids, as reads and watches of the store tell them. Tells what changed;
 * what is older than what is known is passed over, so that a change told twice does no harm.
 */

/** One entry as the store has it. */
export interface StoredEntry<Entry> {
  readonly id: string;
  /** Undefined if the text can't be understood: what was known before stays. */
  readonly entry: Entry | undefined;
  readonly revision: number;
}

/** An entry that is gone. */
export interface RemovedEntry<Entry> {
  readonly id: string;
  /** Of the removal; for a removal found by a read, the read's. */
  readonly revision: number;
  /** As it was last known. */
  readonly entry: Entry;
}

/** What one step changed. */
export interface DirectoryChange<Entry> {
  /** Ids that were added or whose entry is another. */
  readonly put: readonly string[];
  readonly removed: readonly RemovedEntry<Entry>[];
}

export type EntryUpdate<Entry> =
  | { readonly type: 'put'; readonly stored: StoredEntry<Entry> }
  | { readonly type: 'delete'; readonly id: string; readonly revision: number };

export class EntryDirectory<Entry> {
  readonly #entries = new Map<string, Entry>();
  readonly #revisions = new Map<string, number>();

  /** @param same whether two entries of one id say the same */
  constructor(private readonly same: (left: Entry, right: Entry) => boolean) {}

  /** All entries. The map is the directory's own and changes with it. */
  entries(): ReadonlyMap<string, Entry> {
    return this.#entries;
  }

  /** Takes a whole read: entries that are not in it and not newer than it are gone. */
  replace(all: readonly StoredEntry<Entry>[], revision: number): DirectoryChange<Entry> {
    const present = new Set(all.map(({ id }) => id));
    const gone = [...this.#entries.keys()].filter((id) => !present.has(id));
    return this.update([
      ...gone.map((id) => ({ type: 'delete' as const, id, revision })),
      ...all.map((stored) => ({ type: 'put' as const, stored })),
    ]);
  }

  /** Takes updates in their order. */
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
    if (entry === undefined || (known !== undefined && this.same(known, entry))) return false;
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
