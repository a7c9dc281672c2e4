/**
 * Assembles the events of a watch on the current prefix into deltas. Every publish writes the head
 * key last in its transaction, so that all its changes have arrived before the head's event.
 */
import type { WatchEvent } from '../../platform/contract.js';
import type { DeclarationKey } from './declaration.js';
import type { ConfigurationRevision } from './model.js';
import type { ConfigurationDelta } from './replica.js';
import { type ConfigurationEntry, HEAD_KEY, toConfigurationEntries } from './store-layout.js';

/** Assembles the events of one watch; each watch needs its own instance. */
export class WatchAssembler {
  readonly #pending = new Map<DeclarationKey, ConfigurationEntry>();
  #headRevision: ConfigurationRevision;

  /** @param headRevision revision of the configuration that the watch continues from */
  constructor(headRevision: ConfigurationRevision) {
    this.#headRevision = headRevision;
  }

  /** Adds events; returns the delta that they complete, if any. */
  add(events: readonly WatchEvent[]): ConfigurationDelta | undefined {
    let headRevision = this.#headRevision;
    for (const event of events) {
      if (event.type !== 'put') continue;
      if (event.entry.key === HEAD_KEY) {
        headRevision = Math.max(headRevision, event.entry.modRevision);
      }
      for (const entry of toConfigurationEntries([event.entry]))
        this.#pending.set(entry.key, entry);
    }
    if (headRevision === this.#headRevision) return undefined;
    return this.#complete(headRevision);
  }

  #complete(revision: ConfigurationRevision): ConfigurationDelta {
    const entries = [...this.#pending.values()].filter((entry) => entry.revision <= revision);
    for (const entry of entries) this.#pending.delete(entry.key);
    const sinceRevision = this.#headRevision;
    this.#headRevision = revision;
    return { sinceRevision, revision, entries };
  }
}
