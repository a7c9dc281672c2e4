/**
 * Samples of a primary's log position over time. A sample states that every commit acknowledged before `sentAt`
 * is at or before `position`. So a read with a staleness bound sees everything it must at any instance whose log
 * has reached the position of a sample that is no older than the bound.
 */
import { comparePositions, type Position } from '../position.js';
import type { Milliseconds } from '../units.js';

export interface PositionSample {
  /** When the primary was asked. */
  readonly sentAt: Milliseconds;
  readonly position: Position;
}

export interface PositionSamplesOptions {
  /** The newest sample is replaced, not kept, while the one before it is younger than this. */
  readonly minSpacingMs: Milliseconds;
  readonly retentionMs: Milliseconds;
}

export const DEFAULT_POSITION_SAMPLES_OPTIONS: PositionSamplesOptions = {
  minSpacingMs: 50,
  retentionMs: 10_000,
};

/** Samples of one service's primary, oldest first. */
export class PositionSamples {
  #samples: PositionSample[] = [];

  constructor(private readonly options = DEFAULT_POSITION_SAMPLES_OPTIONS) {}

  /** Adds the answer of a trusted primary. */
  add(sample: PositionSample): void {
    const last = this.#samples.at(-1);
    if (last !== undefined && sample.sentAt < last.sentAt) return;
    if (last !== undefined && comparePositions(sample.position, last.position) < 0)
      this.#samples = [];
    const previous = this.#samples.at(-2);
    const isTooClose =
      previous !== undefined && sample.sentAt - previous.sentAt < this.options.minSpacingMs;
    if (isTooClose) this.#samples.pop();
    this.#samples.push(sample);
    const oldestAllowed = sample.sentAt - this.options.retentionMs;
    while (this.#samples[0] !== undefined && this.#samples[0].sentAt < oldestAllowed)
      this.#samples.shift();
  }

  /** The position that a read sent now must find at its instance; undefined if all samples are too old. */
  requiredAt(now: Milliseconds, stalenessMs: Milliseconds): Position | undefined {
    const earliestSentAt = now - stalenessMs;
    return this.#samples.find((sample) => sample.sentAt >= earliestSentAt)?.position;
  }

  newest(): PositionSample | undefined {
    return this.#samples.at(-1);
  }

  /** When the primary was asked for the newest sample. */
  newestAt(): Milliseconds | undefined {
    return this.newest()?.sentAt;
  }

  /** Drops all samples, for use after a change of primary. */
  clear(): void {
    this.#samples = [];
  }
}
