/** The statements of one session that were sent to an instance and have no response yet. */
import type { Milliseconds } from '../core/units.js';
import { firstWithin } from './within.js';

/**
 * A read that was sent to two instances ends with the first response, while the other instance still runs
 * it with the session's values. These must not change until it has ended there too.
 */
export class InFlightStatements {
  readonly #exchanges = new Set<Promise<unknown>>();

  /** Tracks an exchange until it settles. */
  add(exchange: Promise<unknown>): void {
    this.#exchanges.add(exchange);
    const remove = (): void => void this.#exchanges.delete(exchange);
    exchange.then(remove, remove);
  }

  /** Resolves with true once the tracked exchanges have settled, or with false after the timeout. */
  async waitForEnd(timeoutMs: Milliseconds): Promise<boolean> {
    if (this.#exchanges.size === 0) return true;
    const all = Promise.allSettled([...this.#exchanges]).then(() => true);
    return (await firstWithin([all], timeoutMs)) ?? false;
  }
}
