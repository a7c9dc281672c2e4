/** Virtual time: actions run in order of their times; at equal times, in order of scheduling. */
import { seededRandom } from '../random.js';

interface ScheduledAction {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

export class SimulatedClock {
  now = 0;
  readonly random: () => number;
  #queue: ScheduledAction[] = [];
  #order = 0;

  constructor(seed: number) {
    this.random = seededRandom(seed);
  }

  at(time: number, action: () => void): void {
    this.#order += 1;
    const entry = { at: Math.max(time, this.now), order: this.#order, action };
    let low = 0;
    let high = this.#queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.#queue[middle];
      if (other !== undefined && isLater(entry, other)) high = middle;
      else low = middle + 1;
    }
    this.#queue.splice(low, 0, entry);
  }

  after(delay: number, action: () => void): void {
    this.at(this.now + delay, action);
  }

  between(low: number, high: number): number {
    return low + (high - low) * this.random();
  }

  chance(probability: number): boolean {
    return this.random() < probability;
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.random() * items.length)];
    if (item === undefined) throw new Error('nothing to pick from');
    return item;
  }

  runUntil(end: number): void {
    for (;;) {
      const next = this.#queue.at(-1);
      if (next === undefined || next.at > end) break;
      this.#queue.pop();
      this.now = next.at;
      next.action();
    }
    this.now = end;
  }
}

/** The queue is sorted latest first, so that the next action is at its end. */
function isLater(left: ScheduledAction, right: ScheduledAction): boolean {
  return left.at === right.at ? left.order > right.order : left.at > right.at;
}
