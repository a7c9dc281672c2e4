/** This node's observations of one instance in the last half second or a little more. No I/O and no clock. */
import type { Milliseconds } from '../units.js';
import type { InstanceDigest, InstanceObservation } from './instance-digest.js';

const SLICE_MS: Milliseconds = 250;
const SLICE_COUNT = 2;

/** Sums over one slice of time. */
interface Slice {
  readonly index: number;
  answered: number;
  refused: number;
  failed: number;
  /** Number of answers that are included in `answerMs`. */
  timed: number;
  answerMs: Milliseconds;
  /** Number of statements whose wait is included in `waitMs`. */
  started: number;
  waitMs: Milliseconds;
}

export class OwnObservations {
  #slices: Slice[] = [];

  record(observation: InstanceObservation, now: Milliseconds): void {
    const slice = this.#currentSlice(now);
    switch (observation.type) {
      case 'answered':
        slice.answered += 1;
        if (observation.answerMs === undefined) return;
        slice.timed += 1;
        slice.answerMs += observation.answerMs;
        return;
      case 'started':
        slice.started += 1;
        slice.waitMs += observation.waitMs;
        return;
      default:
        slice[observation.type] += 1;
    }
  }

  /** Undefined if there are no recent observations. */
  digest(now: Milliseconds): Omit<InstanceDigest, 'service' | 'instanceId'> | undefined {
    const slices = this.#recentSlices(now);
    const total = (field: Exclude<keyof Slice, 'index'>): number =>
      slices.reduce((sum, slice) => sum + slice[field], 0);
    const counts = {
      answered: total('answered'),
      refused: total('refused'),
      failed: total('failed'),
    };
    const observed = counts.answered + counts.refused + counts.failed;
    if (observed === 0) return undefined;
    const ageMs = slices.reduce(
      (sum, slice) => sum + observationsIn(slice) * ageMsOf(slice, now),
      0,
    );
    return {
      ...counts,
      ageMs: ageMs / observed,
      observers: 1,
      answerMs: total('answerMs') / Math.max(1, total('timed')),
      waitMs: total('waitMs') / Math.max(1, total('started')),
    };
  }

  #currentSlice(now: Milliseconds): Slice {
    const index = Math.floor(now / SLICE_MS);
    const last = this.#slices.at(-1);
    if (last?.index === index) return last;
    const counts = { answered: 0, refused: 0, failed: 0, timed: 0, started: 0 };
    const slice = { index, ...counts, answerMs: 0, waitMs: 0 };
    this.#slices = [...this.#recentSlices(now), slice];
    return slice;
  }

  #recentSlices(now: Milliseconds): Slice[] {
    const oldest = Math.floor(now / SLICE_MS) - SLICE_COUNT;
    return this.#slices.filter(({ index }) => index >= oldest);
  }
}

function observationsIn({ answered, refused, failed }: Slice): number {
  return answered + refused + failed;
}

function ageMsOf({ index }: Slice, now: Milliseconds): Milliseconds {
  return Math.max(0, now - (index + 0.5) * SLICE_MS);
}
