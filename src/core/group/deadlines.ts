/** A binary heap of times at which requests must be checked. */
import type { RequestId } from '../request.js';
import type { Milliseconds } from '../units.js';

/**
 * Time at which a request must be checked. Entries are never removed early; the check ignores
 * obsolete ones.
 */
export interface Deadline {
  readonly at: Milliseconds;
  readonly requestId: RequestId;
}

/** Deadlines, earliest first. */
export class DeadlineHeap {
  private readonly heap: Deadline[] = [];

  get size(): number {
    return this.heap.length;
  }

  add(deadline: Deadline): void {
    this.heap.push(deadline);
    this.siftUp(this.heap.length - 1);
  }

  earliest(): Milliseconds | undefined {
    return this.heap[0]?.at;
  }

  /** Removes and returns the earliest deadline if it is due. */
  takeDue(now: Milliseconds): Deadline | undefined {
    const first = this.heap[0];
    if (first === undefined || first.at > now) return undefined;
    const last = this.heap.pop();
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown(0);
    }
    return first;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.timeAt(parent) <= this.timeAt(index)) return;
      this.swap(parent, index);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (this.timeAt(left) < this.timeAt(least)) least = left;
      if (this.timeAt(right) < this.timeAt(least)) least = right;
      if (least === index) return;
      this.swap(least, index);
      index = least;
    }
  }

  private timeAt(index: number): Milliseconds {
    return this.heap[index]?.at ?? Number.POSITIVE_INFINITY;
  }

  private swap(left: number, right: number): void {
    const first = this.heap[left];
    const second = this.heap[right];
    if (first === undefined || second === undefined) return;
    this.heap[left] = second;
    this.heap[right] = first;
  }
}
