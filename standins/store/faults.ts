/** Faults that only the store has: a rate limit, and answers lost after the change took effect. */
import { z } from 'zod';
import type { Milliseconds } from '../../src/core/units.js';
import { type RandomSource, seededRandom } from '../common/random.js';
import { serviceFaultSettings } from '../common/service-faults.js';
import { TokenBucket } from '../common/token-bucket.js';

const DEFAULT_SEED = 1;

/** Body of `POST /faults`. Absent fields stay as they are. */
export const storeFaultSettings = serviceFaultSettings.extend({
  /** Requests a second over all clients; `null` lifts the limit. */
  requestsPerSecond: z.number().positive().nullable().optional(),
  /** The answers to so many writes from now on are lost. */
  loseNextAnswers: z.int().min(0).optional(),
  /** Probability that a write's answer is lost. */
  loseAnswerProbability: z.number().min(0).max(1).optional(),
  /** Seed of that chance, a 32-bit integer. */
  seed: z.int().optional(),
});
export type StoreFaultSettings = z.infer<typeof storeFaultSettings>;

export class StoreFaults {
  #bucket: TokenBucket | undefined;
  #loseNext = 0;
  #loseProbability = 0;
  #random: RandomSource = seededRandom(DEFAULT_SEED);

  apply(settings: StoreFaultSettings, now: Milliseconds): void {
    const rate = settings.requestsPerSecond;
    if (rate === null) this.#bucket = undefined;
    else if (rate !== undefined) this.#bucket = new TokenBucket(rate, now);
    if (settings.seed !== undefined) this.#random = seededRandom(settings.seed);
    if (settings.loseNextAnswers !== undefined) this.#loseNext = settings.loseNextAnswers;
    if (settings.loseAnswerProbability !== undefined) {
      this.#loseProbability = settings.loseAnswerProbability;
    }
  }

  /** True if the rate limit lets a request through. */
  admits(now: Milliseconds): boolean {
    return this.#bucket?.tryTake(now) ?? true;
  }

  /** Asked once for each write that took effect: true if its answer is to be lost. */
  losesAnswer(): boolean {
    if (this.#loseNext > 0) {
      this.#loseNext -= 1;
      return true;
    }
    return this.#loseProbability > 0 && this.#random() < this.#loseProbability;
  }
}
