/**
 * The last answer time of each instance. The estimate for an instance that was slow decays to the usual time, so that
 * it gets a few reads again and is measured anew. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

/** Decides how soon an instance that was slow gets reads again: after a few half-lives. */
const HALF_LIFE_MS: Milliseconds = 3000;

interface RecordedAnswerTime {
  readonly answerMs: Milliseconds;
  readonly recordedAt: Milliseconds;
}

export class AnswerTimeEstimates {
  readonly #recorded = new Map<string, RecordedAnswerTime>();

  record(instanceId: string, answerMs: Milliseconds, now: Milliseconds): void {
    this.#recorded.set(instanceId, { answerMs, recordedAt: now });
  }

  /** @param usualMs answer time of a healthy instance */
  estimate(instanceId: string, usualMs: Milliseconds, now: Milliseconds): Milliseconds {
    const recorded = this.#recorded.get(instanceId);
    if (recorded === undefined) return usualMs;
    const remainingFraction = 0.5 ** ((now - recorded.recordedAt) / HALF_LIFE_MS);
    return usualMs + (recorded.answerMs - usualMs) * remainingFraction;
  }

  retainOnly(instanceIds: ReadonlySet<string>): void {
    for (const id of this.#recorded.keys()) if (!instanceIds.has(id)) this.#recorded.delete(id);
  }
}
