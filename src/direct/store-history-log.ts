/** Lines and figures about the store's history: its returns from a copy, and what it refused or told out of turn. */
import type { EraReading } from '../core/directory/store-era.js';
import type { Milliseconds } from '../core/units.js';
import type { Logger } from '../observability/logger.js';
import type { SkippedConfiguration } from './directory-follower.js';

/** Lines of one kind that may come with every call are written so often at most. */
const MIN_LOG_INTERVAL_MS: Milliseconds = 1000;

/** Counted since the start. */
export interface StoreHistoryCounters {
  /** Rises of the store's era that this node has heard of. */
  returns: number;
  /** Watches refused since the store has not their history. */
  historiesGone: number;
  /** Answers that could not be placed in an era. */
  unusable: number;
}

export class StoreHistoryLog {
  readonly counters: StoreHistoryCounters = { returns: 0, historiesGone: 0, unusable: 0 };
  readonly #writtenAt = new Map<string, Milliseconds>();

  constructor(
    private readonly logger: Logger,
    private readonly now: () => Milliseconds,
  ) {}

  /** An answer shows a rise of the era, or can't be placed in one. */
  recordEra(reading: EraReading): void {
    if (reading.type === 'risen') {
      this.counters.returns += 1;
      const { era, before } = reading;
      this.logger.warn('store came back from a copy', { era, before });
    } else if (reading.type === 'unusable') {
      this.counters.unusable += 1;
      this.#logThrottled('answer of the store of no known era', reading.reason, {
        reason: reading.reason,
      });
    }
  }

  /** The store has not the history that a watch asked for. */
  recordHistoryGone(prefix: string, after: number): void {
    this.counters.historiesGone += 1;
    this.#logThrottled('history of the store gone', prefix, { prefix, after });
  }

  /** A version above the one in force was taken for an older one. */
  recordConfigurationSkipped(skipped: SkippedConfiguration): void {
    this.logger.warn('newer configuration passed over', { ...skipped });
  }

  #logThrottled(line: string, kind: string, fields: Readonly<Record<string, unknown>>): void {
    const key = `${line}/${kind}`;
    if (this.now() - (this.#writtenAt.get(key) ?? Number.NEGATIVE_INFINITY) < MIN_LOG_INTERVAL_MS)
      return;
    this.#writtenAt.set(key, this.now());
    this.logger.info(line, fields);
  }
}
