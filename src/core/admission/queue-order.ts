/**
 * Which of the statements that wait for room at an instance starts next: the highest priority first; within it
 * those that can still be answered in their aim before late ones, then the tenant that holds the least for its
 * weight, then whoever must start the soonest. No I/O and no clock.
 */
import { weightedLoad } from '../statements/fair-queue.js';
import type { Milliseconds } from '../units.js';

/** A statement that waits, as its place in the order depends on it. */
export interface WaitingWork {
  readonly tenant: string;
  /** 0 is the highest. */
  readonly priority: number;
  /** What its tenant holds counts the less, the greater this is; more than 0. */
  readonly weight: number;
  readonly queuedAt: Milliseconds;
  /** An answer after this is late. */
  readonly aimAt: Milliseconds;
}

/** What the order depends on besides the statements. */
export interface OrderView {
  readonly now: Milliseconds;
  /** Connections that each tenant holds. */
  readonly held: ReadonlyMap<string, number>;
  /** Expected time of an answer at the instance. */
  readonly answerMs: (priority: number) => Milliseconds;
}

/** Of so many starts in a row that passed an older statement of lower priority, the next is the oldest's. */
export const STARTS_PER_OLDEST = 32;

/** Whether the left one starts before the right one. */
export function startsBefore(left: WaitingWork, right: WaitingWork, view: OrderView): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  const isLeftLate = isLate(left, view);
  if (isLeftLate !== isLate(right, view)) return !isLeftLate;
  const difference = weightedLoad(left, view.held) - weightedLoad(right, view.held);
  if (difference !== 0) return difference < 0;
  return left.aimAt < right.aimAt;
}

/** It can't be answered in its aim any more, even if it starts now. */
export function isLate({ priority, aimAt }: WaitingWork, { now, answerMs }: OrderView): boolean {
  return now + answerMs(priority) > aimAt;
}

/** Bounds how long lower priorities can be passed over. */
export class PassedOver {
  #starts = 0;

  /**
   * The statement to start: the first by the order, or now and then the oldest. The oldest's turn waits while the
   * first would become late by it.
   */
  choose<Work extends WaitingWork>(first: Work, oldest: Work, view: OrderView): Work {
    if (oldest.priority <= first.priority) {
      this.#starts = 0;
      return first;
    }
    this.#starts += 1;
    if (this.#starts < STARTS_PER_OLDEST) return first;
    const after = { ...view, now: view.now + view.answerMs(oldest.priority) };
    if (!isLate(first, view) && isLate(first, after)) return first;
    this.#starts = 0;
    return oldest;
  }
}
