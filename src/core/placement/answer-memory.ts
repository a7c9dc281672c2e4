/**
 * How long instances took when they were last asked. One that was slow is expected to be slow still, the less the longer
 * ago that was: it gets a few reads again in time, and its memory is as good as they are. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

/** An instance that was slow gets a few reads again after some such times. */
const HALF_LIFE_MS: Milliseconds = 3000;

interface Remembered {
  readonly answerMs: Milliseconds;
  readonly at: Milliseconds;
}

export class AnswerMemory {
  readonly #remembered = new Map<string, Remembered>();

  note(instanceId: string, answerMs: Milliseconds, now: Milliseconds): void {
    this.#remembered.set(instanceId, { answerMs, at: now });
  }

  /** What to expect of an instance, where one that is well answers within `usualMs`. */
  expected(instanceId: string, usualMs: Milliseconds, now: Milliseconds): Milliseconds {
    const remembered = this.#remembered.get(instanceId);
    if (remembered === undefined) return usualMs;
    const left = 0.5 ** ((now - remembered.at) / HALF_LIFE_MS);
    return usualMs + (remembered.answerMs - usualMs) * left;
  }

  forgetOthers(present: ReadonlySet<string>): void {
    for (const id of this.#remembered.keys()) if (!present.has(id)) this.#remembered.delete(id);
  }
}
