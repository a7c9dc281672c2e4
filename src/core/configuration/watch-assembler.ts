/**
 * Puts the events of a watch over the current prefix together into deltas. Every publish puts the
 * head key last in its transaction, so what came before the head's event is complete.
 */
import type { WatchEvent } from '../../platform/contract.js';
import type { DeclarationKey } from './declaration.js';
import type { ConfigurationRevision } from './model.js';
import type { ConfigurationDelta } from './replica.js';
import { type ConfigurationEntry, entriesOf, HEAD_KEY } from './store-layout.js';

/** Assembles one watch's events; a new watch needs a new one. */
export class WatchAssembler {
  readonly #pending = new Map<DeclarationKey, ConfigurationEntry>();
  #headRevision: ConfigurationRevision;

  /** @param headRevision revision of the configuration that the watch continues from */
  constructor(headRevision: ConfigurationRevision) {
    this.#headRevision = headRevision;
  }

  /** The delta that these events complete, if they do. */
  add(events: readonly WatchEvent[]): ConfigurationDelta | undefined {
    let headRevision = this.#headRevision;
    for (const event of events) {
      if (event.type !== 'put') continue;
      if (event.entry.key === HEAD_KEY) {
        headRevision = Math.max(headRevision, event.entry.modRevision);
      }
      for (const entry of entriesOf([event.entry])) this.#pending.set(entry.key, entry);
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
