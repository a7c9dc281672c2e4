/**
 * How short a tenant is of its quota, as one node sees it, and when a caller that was refused is worth asking again:
 * so long that its turn has come on average. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

const MEMORY_MS: Milliseconds = 1000;
/** A smaller part that is served says no more. */
const LEAST_SERVED_SHARE = 0.05;

export class Shortage {
  #served = 0;
  #refused = 0;
  #at: Milliseconds = 0;

  noteServed(now: Milliseconds): void {
    this.#decay(now);
    this.#served += 1;
  }

  noteRefused(now: Milliseconds): void {
    this.#decay(now);
    this.#refused += 1;
  }

  /** Part of those that asked lately which were served; 1 if none asked. */
  servedShare(now: Milliseconds): number {
    this.#decay(now);
    const asked = this.#served + this.#refused;
    return asked < 1 ? 1 : Math.max(LEAST_SERVED_SHARE, this.#served / asked);
  }

  #decay(now: Milliseconds): void {
    const kept = Math.exp(-Math.max(0, now - this.#at) / MEMORY_MS);
    this.#served *= kept;
    this.#refused *= kept;
    this.#at = now;
  }
}
