/** Tracks which owners responded recently, and which to avoid for a while. */
import type { Milliseconds } from '../../core/units.js';

/** For this time, an owner that did not respond or refused is tried last. */
const AVOIDANCE_PERIOD_MS: Milliseconds = 2000;

interface OwnerState {
  avoidUntil: Milliseconds;
  receivedAt: Milliseconds;
}

export class OwnerHealth {
  readonly #owners = new Map<string, OwnerState>();

  constructor(private readonly now: () => Milliseconds) {}

  /** The owner sent a message or a response. */
  recordReceived(nodeId: string): void {
    this.#state(nodeId).receivedAt = this.now();
  }

  /** The owner is unreachable, does not respond, or refused. */
  recordFailure(nodeId: string): void {
    this.#state(nodeId).avoidUntil = this.now() + AVOIDANCE_PERIOD_MS;
  }

  isAvoided(nodeId: string): boolean {
    return this.#state(nodeId).avoidUntil > this.now();
  }

  /** True if nothing has been received from the owner since `time`. */
  isSilentSince(nodeId: string, time: Milliseconds): boolean {
    return this.#state(nodeId).receivedAt < time;
  }

  /** Removes all other nodes, which are no longer owners. */
  retainOnly(nodeIds: ReadonlySet<string>): void {
    for (const nodeId of this.#owners.keys()) {
      if (!nodeIds.has(nodeId)) this.#owners.delete(nodeId);
    }
  }

  #state(nodeId: string): OwnerState {
    let state = this.#owners.get(nodeId);
    if (state === undefined) {
      state = { avoidUntil: Number.NEGATIVE_INFINITY, receivedAt: Number.NEGATIVE_INFINITY };
      this.#owners.set(nodeId, state);
    }
    return state;
  }
}
