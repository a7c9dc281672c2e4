/**
 * One node's copy of the configuration. It merges what it hears from the store and from peers in
 * any order, and never goes back: for each key only a higher revision is applied, and the revision
 * of the whole only grows. Removed declarations stay as tombstones, so that an old copy of them
 * that is still on its way can't bring them back.
 */
import type { CatalogueEntry } from './catalogue.js';
import type { DeclarationKey } from './declaration.js';
import { EntryDigest } from './entry-digest.js';
import type { ConfigurationMechanism } from './mechanisms.js';
import type { ConfigurationRevision, ConfigurationSnapshot } from './model.js';
import { decodeEntries, liveCatalogueOf } from './publish.js';
import { SnapshotBuilder } from './snapshot-builder.js';
import type { ConfigurationEntry } from './store-layout.js';

/**
 * Everything that changed after `sinceRevision` up to and including `revision`. Entries of one
 * publish are always together in one delta.
 */
export interface ConfigurationDelta {
  readonly sinceRevision: ConfigurationRevision;
  readonly revision: ConfigurationRevision;
  readonly entries: readonly ConfigurationEntry[];
}

/** Says briefly what a replica holds. Equal digests: equal configuration. */
export interface ConfigurationDigest {
  readonly revision: ConfigurationRevision;
  /** Hash over all keys and their revisions. */
  readonly hash: string;
}

/** `gap`: changes before the delta are missing here; nothing was applied, fetch them. */
export type MergeOutcome = 'applied' | 'nothing-new' | 'gap';

/** Holds the entries; a value object with one way to change: `merge`. */
export class ConfigurationReplica {
  readonly #entries = new Map<DeclarationKey, ConfigurationEntry>();
  /** The declarations in force, decoded; kept in step with the entries. */
  readonly #catalogue = new Map<DeclarationKey, CatalogueEntry>();
  readonly #snapshots = new SnapshotBuilder(this.#catalogue);
  readonly #entryDigest = new EntryDigest();
  #revision: ConfigurationRevision = 0;
  #snapshot: ConfigurationSnapshot | undefined;

  /** `without`: mutation checks only. */
  constructor(private readonly without?: ReadonlySet<ConfigurationMechanism>) {}

  /** Every change up to this revision is held. */
  get revision(): ConfigurationRevision {
    return this.#revision;
  }

  /** Merges a delta; applies it whole or not at all. */
  merge(delta: ConfigurationDelta): MergeOutcome {
    const checksGap = this.without?.has('gap-check') !== true;
    if (checksGap && delta.sinceRevision > this.#revision) return 'gap';
    const newer = delta.entries.filter((entry) => this.#isNewer(entry));
    if (newer.length === 0 && delta.revision <= this.#revision) return 'nothing-new';
    for (const entry of newer) this.#put(entry);
    const lowest = this.without?.has('revision-order') ? 0 : this.#revision;
    this.#revision = Math.max(lowest, delta.revision);
    this.#snapshot = undefined;
    return 'applied';
  }

  /** What a peer at `sinceRevision` lacks. */
  changesSince(sinceRevision: ConfigurationRevision): ConfigurationDelta {
    const entries = [...this.#entries.values()]
      .filter((entry) => entry.revision > sinceRevision)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return { sinceRevision, revision: this.#revision, entries };
  }

  digest(): ConfigurationDigest {
    return { revision: this.#revision, hash: this.#entryDigest.toString() };
  }

  /** What is in force here. */
  snapshot(): ConfigurationSnapshot {
    this.#snapshot ??= this.#snapshots.build(this.#revision);
    return this.#snapshot;
  }

  #isNewer(entry: ConfigurationEntry): boolean {
    if (this.without?.has('revision-order')) return true;
    return entry.revision > (this.#entries.get(entry.key)?.revision ?? 0);
  }

  /** A tombstone, or a value that can't be decoded, leaves nothing in force. */
  #put(entry: ConfigurationEntry): void {
    const known = this.#entries.get(entry.key);
    if (known !== undefined) this.#entryDigest.toggle(known);
    this.#entryDigest.toggle(entry);
    this.#entries.set(entry.key, entry);
    this.#catalogue.delete(entry.key);
    this.#snapshots.markChanged(entry.key);
    for (const [key, live] of liveCatalogueOf(decodeEntries([entry]))) {
      this.#catalogue.set(key, live);
    }
  }
}
