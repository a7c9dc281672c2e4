/**
 * Paces the statements that a node starts at an instance which refuses them because all its slots are busy. Each
 * refusal costs the instance time too: a fleet that retries without a pause leaves it no time for work. The
 * interval between starts doubles with refusals and shrinks with answers, so that about a quarter of the
 * statements is refused in equilibrium. No I/O.
 */
import type { Milliseconds } from '../units.js';

const INITIAL_INTERVAL_MS: Milliseconds = 20;
/** A shorter interval is treated as 0. */
const MIN_INTERVAL_MS: Milliseconds = 8;
const GROWTH_FACTOR = 2;
const SHRINK_FACTOR = 0.8;
/** The fleet as a whole always keeps this rate, so that an instance that refuses without load still gets statements. */
const MIN_FLEET_STARTS_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1000;

export class BusyPace {
  #intervalMs: Milliseconds = 0;
  #lastGrownAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #lastStartAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Interval between starts; 0 while starts are not paced. */
  get intervalMs(): Milliseconds {
    return this.#intervalMs;
  }

  get nextStartAt(): Milliseconds {
    return this.#lastStartAt + this.#intervalMs;
  }

  mayStart(now: Milliseconds): boolean {
    return this.#intervalMs === 0 || now >= this.nextStartAt;
  }

  recordStart(now: Milliseconds): void {
    this.#lastStartAt = now;
  }

  /** Records a refusal. Refusals within one interval, of statements that were sent together, count once. */
  recordBusy(now: Milliseconds, nodeCount: number): void {
    if (now - this.#lastGrownAt < Math.max(INITIAL_INTERVAL_MS, this.#intervalMs)) return;
    this.#lastGrownAt = now;
    const maximumMs = (MILLISECONDS_PER_SECOND * nodeCount) / MIN_FLEET_STARTS_PER_SECOND;
    const grownMs = Math.max(INITIAL_INTERVAL_MS, this.#intervalMs * GROWTH_FACTOR);
    this.#intervalMs = Math.min(Math.max(maximumMs, INITIAL_INTERVAL_MS), grownMs);
  }

  recordServed(): void {
    const shrunkMs = this.#intervalMs * SHRINK_FACTOR;
    this.#intervalMs = shrunkMs < MIN_INTERVAL_MS ? 0 : shrunkMs;
  }
}
