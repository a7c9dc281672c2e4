/**
 * Times of another node's steady clock, by this node's own. A question was asked before its answer was written: a time
 * that the answer gives as the answerer's present is no earlier than the question, so that every time of its clock is
 * known to be no earlier than some time of this one, however long the answer took. No I/O and no clock.
 */
import type { Milliseconds } from '../units.js';

export class PeerClock {
  /** What is added to a time of the peer's clock. */
  #offset: Milliseconds | undefined;

  constructor(
    /** When the peer was asked, by this node's clock. */
    private readonly askedAt: Milliseconds,
  ) {}

  /** Takes the peer's present as its first answer gives it; later ones say nothing more. */
  noteAnswer(peerNow: Milliseconds): void {
    this.#offset ??= this.askedAt - peerNow;
  }

  /** A time of this node's clock that is no later than this time of the peer's; none before the first answer. */
  earliest(peerTime: Milliseconds): Milliseconds | undefined {
    return this.#offset === undefined ? undefined : this.#offset + peerTime;
  }
}
