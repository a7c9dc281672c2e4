/**
 * Bounds the staleness of a replica's data. A sample states that at time t the primary had written
 * at most up to position p, so the data of a replica that has replayed p are no older than t.
 */
import type { Position } from '../position.js';
import type { Milliseconds } from '../units.js';
import { containsPosition } from './select.js';

/** At `at`, the primary had written at most up to `position`. */
export interface PrimaryPositionSample {
  readonly at: Milliseconds;
  readonly position: Position;
}

const MAX_SAMPLES = 256;
/** A sample sooner than this after the last is dropped; with an equal position it replaces it. */
const MIN_SAMPLE_GAP_MS = 1;

/** The latest samples of the primary's log position. */
export class PrimaryPositionHistory {
  private samples: PrimaryPositionSample[] = [];

  /** Adds a sample, unless it is older than the last one and therefore adds no information. */
  add(sample: PrimaryPositionSample): void {
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
   * Latest time as of which a replica at `replayed` is known to have all of the primary's writes.
   * Never later than `confirmedUntil`, because another primary may have been promoted unnoticed
   * after that. The timeline alone is not sufficient: a replica that follows a later timeline may
   * still be replaying the earlier one.
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
