/**
 * Until when a node may run what a key asks for. A key may be taken away at any moment, and the operator's bound runs
 * on whether or not this node hears of it: so long as the node can show that the store had its configuration lately, no
 * key of it was taken away longer ago than that. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

/** Steady clocks of two machines differ by less than this in the time that a proof lasts. */
const CLOCK_MARGIN_MS: Milliseconds = 100;

export class RevocationBound {
  /** The store had nothing newer than this node at that time, or later. */
  #provenAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    /** From the acknowledgement that a key is taken away until nothing may run with it. */
    private readonly boundMs: Milliseconds,
  ) {}

  /** @param at no later than the store's answer; the start of the read that it rests on, by this node's clock */
  noteProven(at: Milliseconds): void {
    this.#provenAt = Math.max(this.#provenAt, at);
  }

  /** How old the proof is. */
  ageAt(now: Milliseconds): Milliseconds {
    return now - this.#provenAt;
  }

  /** A request that came by now may run: its key was held less than the bound before it was sent. */
  mayRun(now: Milliseconds): boolean {
    return this.ageAt(now) + CLOCK_MARGIN_MS < this.boundMs;
  }
}
