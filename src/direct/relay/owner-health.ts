/** What a node knows of the owners that it asks: which of them to leave alone for a while. */
import type { Milliseconds } from '../../core/units.js';

/** An owner that did not answer, or refused, is asked last for so long. */
const AVOID_MS: Milliseconds = 2000;

interface OwnerState {
  avoidUntil: Milliseconds;
  heardAt: Milliseconds;
}

export class OwnerHealth {
  readonly #owners = new Map<string, OwnerState>();

  constructor(private readonly now: () => Milliseconds) {}

  /** It said something. */
  noteHeard(nodeId: string): void {
    this.#state(nodeId).heardAt = this.now();
  }

  /** It can't be reached, is silent, or refuses. */
  noteFailure(nodeId: string): void {
    this.#state(nodeId).avoidUntil = this.now() + AVOID_MS;
  }

  isAvoided(nodeId: string): boolean {
    return this.#state(nodeId).avoidUntil > this.now();
  }

  /** Whether it has said anything since then. */
  isSilentSince(nodeId: string, time: Milliseconds): boolean {
    return this.#state(nodeId).heardAt < time;
  }

  /** Forgets owners that are none any more. */
  keepOnly(nodeIds: ReadonlySet<string>): void {
    for (const nodeId of this.#owners.keys()) {
      if (!nodeIds.has(nodeId)) this.#owners.delete(nodeId);
    }
  }

  #state(nodeId: string): OwnerState {
    let state = this.#owners.get(nodeId);
    if (state === undefined) {
      state = { avoidUntil: Number.NEGATIVE_INFINITY, heardAt: Number.NEGATIVE_INFINITY };
      this.#owners.set(nodeId, state);
    }
    return state;
  }
}
