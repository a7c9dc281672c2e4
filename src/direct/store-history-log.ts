/** Logs and counts restores of the store from a backup, and responses that don't fit its known history. */
import type { EraObservation } from '../core/directory/store-era.js';
import type { Milliseconds } from '../core/units.js';
import type { Logger } from '../observability/logger.js';
import type { SkippedConfiguration } from './directory-follower.js';

/** Minimum interval between log lines of one kind that every call may cause. */
const MIN_LOG_INTERVAL_MS: Milliseconds = 1000;

/** Counts since the process started. */
export interface StoreHistoryCounters {
  /** Rises of the store's era, i.e. restores from a backup, that this node has seen. */
  returns: number;
  /** Watches that the store refused because it lacks the history they asked for. */
  historiesGone: number;
  /** Responses that name no era, an invalid one or an earlier one. */
  unusable: number;
}

export class StoreHistoryLog {
  readonly counters: StoreHistoryCounters = { returns: 0, historiesGone: 0, unusable: 0 };
  readonly #writtenAt = new Map<string, Milliseconds>();

  constructor(
    private readonly logger: Logger,
    private readonly now: () => Milliseconds,
  ) {}

  /** Records a response whose era has risen or is unusable. */
  recordEra(reading: EraObservation): void {
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

  /** Records that the store lacks the history that a watch asked for. */
  recordHistoryGone(prefix: string, after: number): void {
    this.counters.historiesGone += 1;
    this.#logThrottled('history of the store gone', prefix, { prefix, after });
  }

  /** Records that a configuration with a higher version was skipped as an older one. */
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
