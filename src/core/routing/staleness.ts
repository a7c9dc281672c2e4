/**
 * How old a replica's data may be. Samples say "at time t the primary had written no more than
 * position p"; a replica that has replayed p is no older than t.
 */
import type { Position } from '../position.js';
import type { Milliseconds } from '../units.js';
import { containsPosition } from './select.js';

/** At `at`, the primary had written at most up to `position`. */
export interface PrimarySample {
  readonly at: Milliseconds;
  readonly position: Position;
}

const MAX_SAMPLES = 256;
/** Samples closer together than this are merged: the later one of equal position wins. */
const MIN_SAMPLE_GAP_MS = 1;

/** A short history of the primary's position. */
export class PrimaryHistory {
  private samples: PrimarySample[] = [];

  /** Adds a sample; one that is older than the last is of no more use than the last. */
  add(sample: PrimarySample): void {
    const last = this.samples[this.samples.length - 1];
    if (last !== undefined) {
      if (sample.at < last.at) return;
      const samePosition = last.position.lsn === sample.position.lsn;
      const sameTimeline = last.position.timeline === sample.position.timeline;
      if (samePosition && sameTimeline) {
        this.samples[this.samples.length - 1] = sample;
        return;
      }
      if (sample.at - last.at < MIN_SAMPLE_GAP_MS) return;
    }
    this.samples.push(sample);
    if (this.samples.length > MAX_SAMPLES) this.samples.shift();
  }

  clear(): void {
    this.samples = [];
  }

  /**
   * The latest time as of which a replica at `replayed` is known to be complete, no later than
   * `confirmedUntil`: beyond it the primary may have been replaced unseen. A replica that follows a
   * later timeline may still replay the earlier one, so its timeline alone says nothing.
   */
  freshAsOf(replayed: Position, confirmedUntil: Milliseconds): Milliseconds {
    for (let index = this.samples.length - 1; index >= 0; index -= 1) {
      const sample = this.samples[index];
      if (sample === undefined || !containsPosition(replayed, sample.position)) continue;
      return Math.min(sample.at, confirmedUntil);
    }
    return Number.NEGATIVE_INFINITY;
  }
}
