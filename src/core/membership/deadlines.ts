/** Deadlines of members: when a suspect is declared dead, and when a dead member is removed. */
import type { Milliseconds } from '../units.js';

/** Deadlines by node id. */
export class Deadlines {
  readonly #deadlines = new Map<string, Milliseconds>();

  set(nodeId: string, deadline: Milliseconds): void {
    this.#deadlines.set(nodeId, deadline);
  }

  clear(nodeId: string): void {
    this.#deadlines.delete(nodeId);
  }

  /** Node ids in no particular order. */
  ids(): string[] {
    return [...this.#deadlines.keys()];
  }

  /** Removes and returns the ids whose deadline has passed. */
  takeDue(now: Milliseconds): string[] {
    const due: string[] = [];
    for (const [nodeId, deadline] of this.#deadlines) {
      if (deadline <= now) due.push(nodeId);
    }
    for (const nodeId of due) this.#deadlines.delete(nodeId);
    return due;
  }

  /** Delays all deadlines, after this node itself was paused. */
  postpone(delay: Milliseconds): void {
    for (const [nodeId, deadline] of this.#deadlines) {
      this.#deadlines.set(nodeId, deadline + delay);
    }
  }

  next(): Milliseconds {
    let next = Number.POSITIVE_INFINITY;
    for (const deadline of this.#deadlines.values()) next = Math.min(next, deadline);
    return next;
  }
}
