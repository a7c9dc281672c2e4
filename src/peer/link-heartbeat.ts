/**
 * Counts the heartbeat intervals in which a link received nothing, and those in which it was idle.
 * It counts intervals, not milliseconds, so that a process that was paused doesn't mistake its own
 * pause for silence of the peer.
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

  /** Records that bytes arrived from the other side. */
  recordReceived(): void {
    this.#silentIntervals = 0;
  }

  /** Ends an interval and returns what to do. `inUse`: streams or calls are open on the link. */
  endInterval(inUse: boolean): HeartbeatAction {
    return inUse ? this.#endUsedInterval() : this.#endIdleInterval();
  }

  #endUsedInterval(): HeartbeatAction {
    this.#idleIntervals = 0;
    if (this.#silentIntervals >= this.limits.maxMissedHeartbeats) return 'close-silent';
    this.#silentIntervals += 1;
    return 'send-ping';
  }

  #endIdleInterval(): HeartbeatAction {
    this.#silentIntervals = 0;
    this.#idleIntervals += 1;
    const idleMs = this.#idleIntervals * this.limits.heartbeatPeriodMs;
    return idleMs >= this.limits.idleTimeoutMs ? 'close-idle' : 'rest';
  }
}
