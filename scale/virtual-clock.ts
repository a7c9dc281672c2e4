/** The simulation's clock: a binary heap of actions; actions due at the same time run in scheduling order. */
import type { Milliseconds } from '../src/core/units.js';

interface ScheduledAction {
  readonly at: Milliseconds;
  readonly order: number;
  readonly run: () => void;
}

export class VirtualClock {
  #now: Milliseconds = 0;
  #order = 0;
  readonly #heap: ScheduledAction[] = [];

  get now(): Milliseconds {
    return this.#now;
  }

  /** Runs the action after `delay` ms of virtual time; a negative delay counts as 0. */
  after(delay: Milliseconds, run: () => void): void {
    this.#order += 1;
    this.#push({ at: this.#now + Math.max(0, delay), order: this.#order, run });
  }

  /** Runs the action every `period` ms of virtual time until it returns false. */
  every(period: Milliseconds, run: () => boolean): void {
    this.after(period, () => {
      if (run()) this.every(period, run);
    });
  }

  /** Runs all actions due up to `end`, and sets the clock to `end`. */
  runUntil(end: Milliseconds): void {
    for (let first = this.#heap[0]; first !== undefined && first.at <= end; first = this.#heap[0]) {
      this.#removeFirst();
      this.#now = first.at;
      first.run();
    }
    this.#now = end;
  }

  #push(action: ScheduledAction): void {
    let index = this.#heap.length;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.#heap[parentIndex];
      if (parent === undefined || isBefore(parent, action)) break;
      this.#heap[index] = parent;
      index = parentIndex;
    }
    this.#heap[index] = action;
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) return;
    let index = 0;
    for (;;) {
      const childIndex = this.#smallerChild(index);
      const child = this.#heap[childIndex];
      if (child === undefined || isBefore(last, child)) break;
      this.#heap[index] = child;
      index = childIndex;
    }
    this.#heap[index] = last;
  }

  #smallerChild(index: number): number {
    const left = this.#heap[2 * index + 1];
    const right = this.#heap[2 * index + 2];
    const isRight = left !== undefined && right !== undefined && isBefore(right, left);
    return isRight ? 2 * index + 2 : 2 * index + 1;
  }
}

function isBefore(left: ScheduledAction, right: ScheduledAction): boolean {
  return left.at === right.at ? left.order < right.order : left.at < right.at;
}
