/**
 * Limits how long a node may run requests of a key after the key may have been revoked. The operator's bound also
 * holds if this node is not notified of a revocation. A proof that this node had the store's current configuration at
 * some time shows that no key of it was revoked before that time. No I/O; the caller passes the time.
 */
import type { Milliseconds } from '../units.js';

/** Monotonic clocks of two machines drift apart by less than this during the validity of a proof. */
const CLOCK_DRIFT_MARGIN_MS: Milliseconds = 100;

export class RevocationBound {
  /** At this time, the store had no newer configuration than this node. */
  #provenAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    /** Time from the acknowledgement of a revocation until no request may run with the key. */
    private readonly boundMs: Milliseconds,
  ) {}

  /** @param at start of the read that gave the proof, by this node's clock; never later than the store's response */
  recordProof(at: Milliseconds): void {
    this.#provenAt = Math.max(this.#provenAt, at);
  }

  /** Age of the latest proof. */
  proofAgeMs(now: Milliseconds): Milliseconds {
    return now - this.#provenAt;
  }

  /** True if a request that has arrived by now may run: its key was valid less than the bound ago. */
  mayRun(now: Milliseconds): boolean {
    return this.proofAgeMs(now) + CLOCK_DRIFT_MARGIN_MS < this.boundMs;
  }
}
