/**
 * Counts a link's intervals without a word and without use. Intervals are counted, not milliseconds,
 * so that a process that was paused does not take its own silence for the peer's.
 */
import type { PeerLinkLimits } from './options.js';

/** What a link does at the end of a heartbeat interval. */
export type HeartbeatAction = 'send-ping' | 'close-silent' | 'rest' | 'close-idle';

/** The heartbeat of one link. */
export class LinkHeartbeat {
  #silentIntervals = 0;
  #idleIntervals = 0;

  constructor(
    private readonly limits: Pick<
      PeerLinkLimits,
      'heartbeatPeriodMs' | 'maxMissedHeartbeats' | 'idleTimeoutMs'
    >,
  ) {}

  /** Something came from the other side. */
  heard(): void {
    this.#silentIntervals = 0;
  }

  /** An interval is over; `inUse` if streams or calls are open on the link. */
  intervalOver(inUse: boolean): HeartbeatAction {
    return inUse ? this.#usedInterval() : this.#idleInterval();
  }

  #usedInterval(): HeartbeatAction {
    this.#idleIntervals = 0;
    if (this.#silentIntervals >= this.limits.maxMissedHeartbeats) return 'close-silent';
    this.#silentIntervals += 1;
    return 'send-ping';
  }

  #idleInterval(): HeartbeatAction {
    this.#silentIntervals = 0;
    this.#idleIntervals += 1;
    const idleMs = this.#idleIntervals * this.limits.heartbeatPeriodMs;
    return idleMs >= this.limits.idleTimeoutMs ? 'close-idle' : 'rest';
  }
}
