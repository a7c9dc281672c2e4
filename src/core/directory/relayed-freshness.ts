/**
 * How current the store data is that a reader received from another reader: what it may report to the nodes that watch
 * through it, and when it should report at once. No I/O; the caller passes the times.
 */
import type { Milliseconds } from '../units.js';

/** Times at which the store had no further changes: when it responded, and when the poll was sent (proven). */
export interface FreshnessTimes {
  readonly currentAsOf: Milliseconds;
  readonly provenCurrentAsOf: Milliseconds;
}

export class RelayedFreshness {
  #times: FreshnessTimes | undefined;
  #relayedCurrentAsOf: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Times newer by less than this wait for the next heartbeat: the two readers of the store report alternately. */
  constructor(private readonly minRelayIntervalMs: Milliseconds) {}

  /** Undefined if there is nothing to report. */
  get times(): FreshnessTimes | undefined {
    return this.#times;
  }

  /** All changes up to the revision known here were received, and were current at these times. */
  record({ currentAsOf: currentAt, provenCurrentAsOf: provenAt }: FreshnessTimes): void {
    if (!Number.isFinite(currentAt) || !Number.isFinite(provenAt)) return;
    this.#times = {
      currentAsOf: Math.max(currentAt, this.#times?.currentAsOf ?? currentAt),
      provenCurrentAsOf: Math.max(provenAt, this.#times?.provenCurrentAsOf ?? provenAt),
    };
  }

  clear(): void {
    this.#times = undefined;
  }

  /** True once for each update that should be relayed at once. */
  takeRelayDue(hasChanges: boolean): boolean {
    if (this.#times === undefined) return false;
    const { currentAsOf: currentAt } = this.#times;
    if (!hasChanges && currentAt - this.#relayedCurrentAsOf < this.minRelayIntervalMs) return false;
    this.#relayedCurrentAsOf = currentAt;
    return true;
  }
}
