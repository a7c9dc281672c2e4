/**
 * Order in which statements that wait for an instance start: the highest priority first; within a priority,
 * statements that can still meet their latency target before late ones, then those of the tenant with the fewest
 * connections for its weight, then those with the earliest latency target. No I/O; the caller passes the time.
 */
import { weightedLoad } from '../statements/fair-queue.js';
import type { Milliseconds } from '../units.js';

/** The fields of a waiting statement that determine its position. */
export interface WaitingWork {
  readonly tenant: string;
  /** 0 is the highest. */
  readonly priority: number;
  /** The tenant's connections are divided by this weight; greater than 0. */
  readonly weight: number;
  readonly queuedAt: Milliseconds;
  /** A response after this time is late. */
  readonly latencyTargetAt: Milliseconds;
}

/** Inputs of the order other than the statements. */
export interface OrderView {
  readonly now: Milliseconds;
  /** Connections that each tenant holds. */
  readonly held: ReadonlyMap<string, number>;
  /** Expected response time of the instance for a priority. */
  readonly responseMs: (priority: number) => Milliseconds;
}

/** Of this many consecutive starts with an older statement of lower priority waiting, the last goes to the oldest. */
export const STARTS_PER_OLDEST = 32;

/** Whether the left statement starts before the right one. */
export function startsBefore(left: WaitingWork, right: WaitingWork, view: OrderView): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  const isLeftLate = isLate(left, view);
  if (isLeftLate !== isLate(right, view)) return !isLeftLate;
  const difference = weightedLoad(left, view.held) - weightedLoad(right, view.held);
  if (difference !== 0) return difference < 0;
  return left.latencyTargetAt < right.latencyTargetAt;
}

/** Whether the statement can no longer meet its latency target, even if it starts now. */
export function isLate(
  { priority, latencyTargetAt }: WaitingWork,
  { now, responseMs }: OrderView,
): boolean {
  return now + responseMs(priority) > latencyTargetAt;
}

/** Limits how long statements of lower priorities can be passed over. */
export class StarvationGuard {
  #starts = 0;

  /**
   * The statement to start: the first in order, or the oldest on every `STARTS_PER_OLDEST`th start. The oldest is
   * deferred while starting it would make the first one late.
   */
  choose<Work extends WaitingWork>(first: Work, oldest: Work, view: OrderView): Work {
    if (oldest.priority <= first.priority) {
      this.#starts = 0;
      return first;
    }
    this.#starts += 1;
    if (this.#starts < STARTS_PER_OLDEST) return first;
    const afterOldest = { ...view, now: view.now + view.responseMs(oldest.priority) };
    if (!isLate(first, view) && isLate(first, afterOldest)) return first;
    this.#starts = 0;
    return oldest;
  }
}
