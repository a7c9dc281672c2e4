/** Deadlines of members: when a suspicion becomes a death, when a dead member is forgotten. */
import type { Milliseconds } from '../units.js';

/** Times by key, the earliest first. */
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

  /** Moves all deadlines, after this node itself was paused. */
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
