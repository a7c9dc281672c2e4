/** Virtual time: actions run in order of their times; equal times in order of planning. */
import { seededRandom } from '../random.js';

interface PlannedAction {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

export class SimulatedClock {
  now = 0;
  readonly random: () => number;
  #queue: PlannedAction[] = [];
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

/** The queue holds the latest first, so that the next is taken from its end. */
function isLater(left: PlannedAction, right: PlannedAction): boolean {
  return left.at === right.at ? left.order > right.order : left.at > right.at;
}
