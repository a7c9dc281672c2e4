/** Lines and figures about the store's history: its returns from a copy, and what it refused or told out of turn. */
import type { EraObservation } from '../core/directory/store-era.js';
import type { Milliseconds } from '../core/units.js';
import type { Logger } from '../observability/logger.js';
import type { PassedConfiguration } from './directory-follower.js';

/** Lines of one kind that may come with every call are written so often at most. */
const LINE_EVERY_MS: Milliseconds = 1000;

/** Counted since the start. */
export interface StoreSightCounters {
  /** Rises of the store's era that this node has heard of. */
  returns: number;
  /** Watches refused since the store has not their history. */
  historiesGone: number;
  /** Answers that could not be placed in an era. */
  unusable: number;
}

export class StoreSight {
  readonly counters: StoreSightCounters = { returns: 0, historiesGone: 0, unusable: 0 };
  readonly #writtenAt = new Map<string, Milliseconds>();

  constructor(
    private readonly logger: Logger,
    private readonly now: () => Milliseconds,
  ) {}

  /** An answer shows a rise of the era, or can't be placed in one. */
  noteEra(reading: EraObservation): void {
    if (reading.type === 'risen') {
      this.counters.returns += 1;
      const { era, before } = reading;
      this.logger.warn('store came back from a copy', { era, before });
    } else if (reading.type === 'unusable') {
      this.counters.unusable += 1;
      this.#write('answer of the store of no known era', reading.reason, {
        reason: reading.reason,
      });
    }
  }

  /** The store has not the history that a watch asked for. */
  noteHistoryGone(prefix: string, after: number): void {
    this.counters.historiesGone += 1;
    this.#write('history of the store gone', prefix, { prefix, after });
  }

  /** A version above the one in force was taken for an older one. */
  noteConfigurationPassed(passed: PassedConfiguration): void {
    this.logger.warn('newer configuration passed over', { ...passed });
  }

  #write(line: string, kind: string, fields: Readonly<Record<string, unknown>>): void {
    const key = `${line}/${kind}`;
    if (this.now() - (this.#writtenAt.get(key) ?? Number.NEGATIVE_INFINITY) < LINE_EVERY_MS) return;
    this.#writtenAt.set(key, this.now());
    this.logger.info(line, fields);
  }
}
