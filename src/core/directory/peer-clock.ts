/**
 * Converts times of a peer's monotonic clock to this node's clock. The peer writes its response after this node sent
 * the request, so the peer's current time in the response is no earlier than the request. This gives, for each time of
 * the peer's clock, a lower bound on this node's clock, however long the response took. No I/O; the caller passes the
 * time.
 */
import type { Milliseconds } from '../units.js';

export class PeerClock {
  /** Added to a time of the peer's clock to get the lower bound. */
  #offset: Milliseconds | undefined;

  constructor(
    /** When the request was sent to the peer, by this node's clock. */
    private readonly requestedAt: Milliseconds,
  ) {}

  /** Records the peer's current time from its first response; later responses are ignored. */
  recordResponse(peerNow: Milliseconds): void {
    this.#offset ??= this.requestedAt - peerNow;
  }

  /** A time of this node's clock that is no later than `peerTime`; undefined before the first response. */
  earliestOwnTime(peerTime: Milliseconds): Milliseconds | undefined {
    return this.#offset === undefined ? undefined : this.#offset + peerTime;
  }
}
