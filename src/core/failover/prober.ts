/**
 * When to ask which instance for its state. One probe at a time per instance; one that is not
 * answered within its own timeout counts as missed and never blocks the next.
 */
import type { ProbeId } from '../group/contract.js';
import type { InstanceName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** A probe that was sent. */
export interface SentProbe {
  readonly id: ProbeId;
  readonly instance: InstanceName;
  readonly sentAt: Milliseconds;
  /** Order among all probes and finished runs of this owner. */
  readonly sequence: number;
}

/** A probe that was answered or failed, perhaps after it had counted as missed. */
export interface SettledProbe {
  readonly probe: SentProbe;
  readonly late: boolean;
}

/** Answers to probes older than this many are not taken in any more. */
const MAX_REMEMBERED_PROBES = 64;
/** A timer that is late by more than this shows that the process stood still. */
const STANDSTILL_MS: Milliseconds = 20;
/** Time in which answers that arrived during a standstill are surely read. */
const EXCUSED_MS: Milliseconds = 20;

/** Pace of probing and patience with an answer. */
export interface ProbeTiming {
  readonly timeoutMs: Milliseconds;
}

interface InstanceSchedule {
  inFlight: SentProbe | undefined;
  lastSentAt: Milliseconds;
  /** When the probe in flight counts as missed. */
  missedAt: Milliseconds;
  /** The probe in flight got more time because this node itself had stood still. */
  excused: boolean;
}

/** Probes in flight and when the next are due. */
export class Prober {
  private readonly schedules = new Map<InstanceName, InstanceSchedule>();
  private readonly sent = new Map<ProbeId, SentProbe>();
  private count = 0;

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

  /** True if a probe may be sent to the instance now, not sooner than `periodMs` after the last. */
  isDue(name: InstanceName, periodMs: Milliseconds, now: Milliseconds): boolean {
    const schedule = this.schedules.get(name);
    if (schedule === undefined || schedule.inFlight !== undefined) return false;
    return now >= schedule.lastSentAt + periodMs;
  }

  /** When the instance's next probe is due, or when the one in flight times out. */
  nextDueAt(name: InstanceName, periodMs: Milliseconds): Milliseconds {
    const schedule = this.schedules.get(name);
    if (schedule === undefined) return Number.POSITIVE_INFINITY;
    if (schedule.inFlight !== undefined) return schedule.missedAt;
    return schedule.lastSentAt + periodMs;
  }

  /** Records a probe as sent. */
  send(instance: InstanceName, sequence: number, now: Milliseconds): SentProbe {
    this.count += 1;
    const probe: SentProbe = { id: `p${this.count}`, instance, sentAt: now, sequence };
    this.schedules.set(instance, newSchedule(probe, now, now + this.timing.timeoutMs));
    this.remember(probe);
    return probe;
  }

  /**
   * Takes back the probe that was answered or failed. A late answer still tells how things were
   * after it was sent, which is all that an answer ever tells.
   */
  settle(id: ProbeId): SettledProbe | undefined {
    const probe = this.sent.get(id);
    if (probe === undefined) return undefined;
    this.sent.delete(id);
    const schedule = this.schedules.get(probe.instance);
    if (schedule?.inFlight?.id !== id) return { probe, late: true };
    schedule.inFlight = undefined;
    return { probe, late: false };
  }

  /**
   * Gives up waiting for the probes whose time is over. If that is noticed late, this node has stood
   * still and the answer may wait unread in its socket: the probe gets a little more time, once.
   */
  takeTimedOut(now: Milliseconds): SentProbe[] {
    const timedOut: SentProbe[] = [];
    for (const schedule of this.schedules.values()) {
      const probe = schedule.inFlight;
      if (probe === undefined || now < schedule.missedAt) continue;
      if (this.excuse(schedule, now)) continue;
      schedule.inFlight = undefined;
      timedOut.push(probe);
    }
    return timedOut;
  }

  private excuse(schedule: InstanceSchedule, now: Milliseconds): boolean {
    if (schedule.excused || now - schedule.missedAt < STANDSTILL_MS) return false;
    schedule.excused = true;
    schedule.missedAt = now + EXCUSED_MS;
    return true;
  }

  private remember(probe: SentProbe): void {
    this.sent.set(probe.id, probe);
    if (this.sent.size <= MAX_REMEMBERED_PROBES) return;
    const [oldest] = this.sent.keys();
    if (oldest !== undefined) this.sent.delete(oldest);
  }
}

function newSchedule(
  inFlight: SentProbe | undefined,
  lastSentAt: Milliseconds,
  missedAt: Milliseconds,
): InstanceSchedule {
  return { inFlight, lastSentAt, missedAt, excused: false };
}
