/** What one session has sent to instances and has not been answered or ended there. */
import type { Milliseconds } from '../core/units.js';
import { firstWithin } from './within.js';

/**
 * A read that was sent to two instances is answered by the first of them; the other one still runs it,
 * with the values that the session had. They must not change meanwhile.
 */
export class InFlightStatements {
  readonly #exchanges = new Set<Promise<unknown>>();

  /** Counts an exchange until it settles. */
  add(exchange: Promise<unknown>): void {
    this.#exchanges.add(exchange);
    const remove = (): void => void this.#exchanges.delete(exchange);
    exchange.then(remove, remove);
  }

  /** Resolves once nothing is under way any more: true, or false if something is after so long. */
  async waitForEnd(timeoutMs: Milliseconds): Promise<boolean> {
    if (this.#exchanges.size === 0) return true;
    const all = Promise.allSettled([...this.#exchanges]).then(() => true);
    return (await firstWithin([all], timeoutMs)) ?? false;
  }
}
