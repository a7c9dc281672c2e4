/** Decides when to ask the replicas of a group for their positions, because its primary does not answer. No I/O. */
import type { Milliseconds } from '../units.js';

/** Positions that the primary reported before cover a shorter absence. */
export const ABSENCE_THRESHOLD_MS: Milliseconds = 500;
/** How often the replicas are asked during an absence. */
export const REPLICA_QUERY_PERIOD_MS: Milliseconds = 400;

export class PrimaryAbsence {
  #absentSince: Milliseconds | undefined;
  #lastQueryAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Returns true if the replicas are to be asked now; this then counts as asking them. */
  shouldQueryReplicas(now: Milliseconds, isAbsent: boolean): boolean {
    if (!isAbsent) {
      this.#absentSince = undefined;
      return false;
    }
    this.#absentSince ??= now;
    if (now - this.#absentSince < ABSENCE_THRESHOLD_MS) return false;
    if (now - this.#lastQueryAt < REPLICA_QUERY_PERIOD_MS) return false;
    this.#lastQueryAt = now;
    return true;
  }
}
