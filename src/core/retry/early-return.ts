/**
 * A caller that was refused for want of its tenant's quota and comes back before the time that it was told: it must not
 * pass those who ask for the first time. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

/** A session may have a new operation after this, whatever it was told for the one before. */
const LONGEST_HOLD_MS: Milliseconds = 400;

export class EarlyReturn {
  #account: string | undefined;
  #backAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #heldUntil: Milliseconds = Number.NEGATIVE_INFINITY;

  noteRefused(account: string, retryAfterMs: Milliseconds, now: Milliseconds): void {
    this.#account = account;
    this.#backAt = now + retryAfterMs;
    this.#heldUntil = now + Math.min(retryAfterMs, LONGEST_HOLD_MS);
  }

  /** How long it is until the time that the caller was told; undefined if it may ask now. */
  leftMs(account: string, now: Milliseconds): Milliseconds | undefined {
    if (account !== this.#account || now >= this.#heldUntil) return undefined;
    return this.#backAt - now;
  }
}
