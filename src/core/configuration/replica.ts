/**
 * One node's copy of the configuration. It merges changes from the store and from peers in any
 * order, and never goes back: for each key only a higher revision is applied, and the revision of
 * the replica only rises. Removed declarations are kept as tombstones, so that a delayed message
 * with an older version can't restore them.
 */
import type { CatalogueEntry } from './catalogue.js';
import type { DeclarationKey } from './declaration.js';
import { EntryDigest } from './entry-digest.js';
import type { ConfigurationMechanism } from './mechanisms.js';
import type { ConfigurationRevision, ConfigurationSnapshot } from './model.js';
import { decodeEntries, toLiveCatalogue } from './publish.js';
import { SnapshotBuilder } from './snapshot-builder.js';
import type { ConfigurationEntry } from './store-layout.js';

/**
 * All changes after `sinceRevision`, up to and including `revision`. The entries of one publish are
 * always in the same delta.
 */
export interface ConfigurationDelta {
  readonly sinceRevision: ConfigurationRevision;
  readonly revision: ConfigurationRevision;
  readonly entries: readonly ConfigurationEntry[];
}

/** Summary of a replica's contents. Replicas with equal digests have equal configurations. */
export interface ConfigurationDigest {
  readonly revision: ConfigurationRevision;
  /** Hash over all keys and their revisions. */
  readonly hash: string;
}

/** `gap`: changes before the delta are missing and must be fetched; nothing was applied. */
export type MergeOutcome = 'applied' | 'nothing-new' | 'gap';

/** Holds the entries, which only `merge` changes. */
export class ConfigurationReplica {
  readonly #entries = new Map<DeclarationKey, ConfigurationEntry>();
  /** The decoded declarations in force; updated with the entries. */
  readonly #catalogue = new Map<DeclarationKey, CatalogueEntry>();
  readonly #snapshotBuilder = new SnapshotBuilder(this.#catalogue);
  readonly #entryDigest = new EntryDigest();
  #revision: ConfigurationRevision = 0;
  #snapshot: ConfigurationSnapshot | undefined;

  /** @param disabledMechanisms for mutation checks only */
  constructor(private readonly disabledMechanisms?: ReadonlySet<ConfigurationMechanism>) {}

  /** The replica has every change up to this revision. */
  get revision(): ConfigurationRevision {
    return this.#revision;
  }

  /** Merges a delta; applies all its newer entries or, if there is a gap before it, none. */
  merge(delta: ConfigurationDelta): MergeOutcome {
    const checksGap = this.disabledMechanisms?.has('gap-check') !== true;
    if (checksGap && delta.sinceRevision > this.#revision) return 'gap';
    const newer = delta.entries.filter((entry) => this.#isNewer(entry));
    if (newer.length === 0 && delta.revision <= this.#revision) return 'nothing-new';
    for (const entry of newer) this.#storeEntry(entry);
    const minRevision = this.disabledMechanisms?.has('revision-order') ? 0 : this.#revision;
    this.#revision = Math.max(minRevision, delta.revision);
    this.#snapshot = undefined;
    return 'applied';
  }

  /** The changes that a peer at `sinceRevision` lacks. */
  changesSince(sinceRevision: ConfigurationRevision): ConfigurationDelta {
    const entries = [...this.#entries.values()]
      .filter((entry) => entry.revision > sinceRevision)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return { sinceRevision, revision: this.#revision, entries };
  }

  digest(): ConfigurationDigest {
    return { revision: this.#revision, hash: this.#entryDigest.toString() };
  }

  /** The configuration in force on this node. */
  snapshot(): ConfigurationSnapshot {
    this.#snapshot ??= this.#snapshotBuilder.build(this.#revision);
    return this.#snapshot;
  }

  #isNewer(entry: ConfigurationEntry): boolean {
    if (this.disabledMechanisms?.has('revision-order')) return true;
    return entry.revision > (this.#entries.get(entry.key)?.revision ?? 0);
  }

  /** After a tombstone or a value that can't be decoded, no declaration of the key is in force. */
  #storeEntry(entry: ConfigurationEntry): void {
    const known = this.#entries.get(entry.key);
    if (known !== undefined) this.#entryDigest.toggle(known);
    this.#entryDigest.toggle(entry);
    this.#entries.set(entry.key, entry);
    this.#catalogue.delete(entry.key);
    this.#snapshotBuilder.markChanged(entry.key);
    for (const [key, live] of toLiveCatalogue(decodeEntries([entry]))) {
      this.#catalogue.set(key, live);
    }
  }
}
