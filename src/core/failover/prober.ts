/**
 * Schedules the probes that ask instances for their state. Each instance has at most one probe in
 * flight; a probe not answered within its timeout counts as missed and does not block the next one.
 */
import type { ProbeId } from '../group/contract.js';
import type { InstanceName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** A probe that was sent. */
export interface SentProbe {
  readonly id: ProbeId;
  readonly instance: InstanceName;
  readonly sentAt: Milliseconds;
  /** Sequence number shared by all probes sent and runs finished by this owner. */
  readonly sequence: number;
}

/** A probe that was answered or that failed. */
export interface SettledProbe {
  readonly probe: SentProbe;
  /** True if the probe had already been counted as missed. */
  readonly late: boolean;
}

/** Number of latest probes that are tracked; answers to earlier ones are ignored. */
const MAX_TRACKED_PROBES = 64;
/** A timer delayed by at least this shows that the process was stalled. */
const PROCESS_STALL_MS: Milliseconds = 20;
/** Time after a stall within which all answers that arrived during it have been read. */
const STALL_GRACE_MS: Milliseconds = 20;

/** Timing of probes. */
export interface ProbeTiming {
  readonly timeoutMs: Milliseconds;
}

interface InstanceSchedule {
  inFlight: SentProbe | undefined;
  lastSentAt: Milliseconds;
  /** Time from which the probe in flight counts as missed. */
  timeoutAt: Milliseconds;
  /** The timeout of the probe in flight was extended because this process was stalled. */
  hasStallGrace: boolean;
}

/** Tracks probes in flight and determines when the next ones are due. */
export class Prober {
  private readonly schedules = new Map<InstanceName, InstanceSchedule>();
  private readonly trackedProbes = new Map<ProbeId, SentProbe>();
  private sentCount = 0;

  constructor(private readonly timing: ProbeTiming) {}

  setInstances(names: readonly InstanceName[]): void {
    const wanted = new Set(names);
    for (const name of this.schedules.keys()) {
      if (!wanted.has(name)) this.schedules.delete(name);
    }
    for (const name of names) {
      if (this.schedules.has(name)) continue;
      this.schedules.set(name, newSchedule(undefined, Number.NEGATIVE_INFINITY, 0));
    }
  }

  /** True if no probe is in flight and the last one was sent at least `periodMs` ago. */
  isDue(name: InstanceName, periodMs: Milliseconds, now: Milliseconds): boolean {
    const schedule = this.schedules.get(name);
    if (schedule === undefined || schedule.inFlight !== undefined) return false;
    return now >= schedule.lastSentAt + periodMs;
  }

  /** When the instance's next probe is due, or when the one in flight times out. */
  nextDueAt(name: InstanceName, periodMs: Milliseconds): Milliseconds {
    const schedule = this.schedules.get(name);
    if (schedule === undefined) return Number.POSITIVE_INFINITY;
    if (schedule.inFlight !== undefined) return schedule.timeoutAt;
    return schedule.lastSentAt + periodMs;
  }

  /** Records a probe as sent. */
  send(instance: InstanceName, sequence: number, now: Milliseconds): SentProbe {
    this.sentCount += 1;
    const probe: SentProbe = { id: `p${this.sentCount}`, instance, sentAt: now, sequence };
    this.schedules.set(instance, newSchedule(probe, now, now + this.timing.timeoutMs));
    this.track(probe);
    return probe;
  }

  /**
   * Removes and returns a probe that was answered or failed. A late answer is still valid: like any
   * answer, it describes the instance at some time after the probe was sent.
   */
  settle(id: ProbeId): SettledProbe | undefined {
    const probe = this.trackedProbes.get(id);
    if (probe === undefined) return undefined;
    this.trackedProbes.delete(id);
    const schedule = this.schedules.get(probe.instance);
    if (schedule?.inFlight?.id !== id) return { probe, late: true };
    schedule.inFlight = undefined;
    return { probe, late: false };
  }

  /**
   * Removes and returns the probes that have timed out. If a timeout is noticed late, this process
   * was stalled and the answer may be unread in its socket: the timeout is extended once by
   * `STALL_GRACE_MS`.
   */
  takeTimedOut(now: Milliseconds): SentProbe[] {
    const timedOut: SentProbe[] = [];
    for (const schedule of this.schedules.values()) {
      const probe = schedule.inFlight;
      if (probe === undefined || now < schedule.timeoutAt) continue;
      if (this.grantStallGrace(schedule, now)) continue;
      schedule.inFlight = undefined;
      timedOut.push(probe);
    }
    return timedOut;
  }

  private grantStallGrace(schedule: InstanceSchedule, now: Milliseconds): boolean {
    if (schedule.hasStallGrace || now - schedule.timeoutAt < PROCESS_STALL_MS) return false;
    schedule.hasStallGrace = true;
    schedule.timeoutAt = now + STALL_GRACE_MS;
    return true;
  }

  private track(probe: SentProbe): void {
    this.trackedProbes.set(probe.id, probe);
    if (this.trackedProbes.size <= MAX_TRACKED_PROBES) return;
    const [oldest] = this.trackedProbes.keys();
    if (oldest !== undefined) this.trackedProbes.delete(oldest);
  }
}

function newSchedule(
  inFlight: SentProbe | undefined,
  lastSentAt: Milliseconds,
  missedAt: Milliseconds,
): InstanceSchedule {
  return { inFlight, lastSentAt, timeoutAt: missedAt, hasStallGrace: false };
}
