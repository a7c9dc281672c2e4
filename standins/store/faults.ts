/** Faults that only the store has: a rate limit, and responses lost after the write took effect. */
import { z } from 'zod';
import type { Milliseconds } from '../../src/core/units.js';
import { type RandomSource, seededRandom } from '../common/random.js';
import { serviceFaultSettings } from '../common/service-faults.js';
import { TokenBucket } from '../common/token-bucket.js';

const DEFAULT_SEED = 1;

/** Body of `POST /faults`. Absent fields stay as they are. */
export const storeFaultSettings = serviceFaultSettings.extend({
  /** Requests per second over all clients; `null` removes the limit. */
  requestsPerSecond: z.number().positive().nullable().optional(),
  /** Number of next writes whose responses are lost. */
  loseNextAnswers: z.int().min(0).optional(),
  /** Probability that the response to a write is lost. */
  loseAnswerProbability: z.number().min(0).max(1).optional(),
  /** Seed of the random choice for `loseAnswerProbability`, a 32-bit integer. */
  seed: z.int().optional(),
});
export type StoreFaultSettings = z.infer<typeof storeFaultSettings>;

export class StoreFaults {
  #bucket: TokenBucket | undefined;
  #answersToLose = 0;
  #answerLossProbability = 0;
  #random: RandomSource = seededRandom(DEFAULT_SEED);

  apply(settings: StoreFaultSettings, now: Milliseconds): void {
    const rate = settings.requestsPerSecond;
    if (rate === null) this.#bucket = undefined;
    else if (rate !== undefined) this.#bucket = new TokenBucket(rate, now);
    if (settings.seed !== undefined) this.#random = seededRandom(settings.seed);
    if (settings.loseNextAnswers !== undefined) this.#answersToLose = settings.loseNextAnswers;
    if (settings.loseAnswerProbability !== undefined) {
      this.#answerLossProbability = settings.loseAnswerProbability;
    }
  }

  /** Counts a request against the rate limit; false if it exceeds the limit. */
  tryAdmit(now: Milliseconds): boolean {
    return this.#bucket?.tryTake(now) ?? true;
  }

  /** Called once for each write that took effect; true if its response must be dropped. */
  shouldLoseAnswer(): boolean {
    if (this.#answersToLose > 0) {
      this.#answersToLose -= 1;
      return true;
    }
    return this.#answerLossProbability > 0 && this.#random() < this.#answerLossProbability;
  }
}
