/**
 * Monitors a group's instances: records their probe answers, determines the primary and schedules
 * the next probes.
 */
import type {
  GroupEffect,
  InstanceDescription,
  InstanceState,
  ProbeId,
} from '../group/contract.js';
import type { DatabaseGroupOptions, GroupTiming } from '../group/options.js';
import type { Position } from '../position.js';
import type { InstanceName } from '../request.js';
import { PrimaryPositionHistory } from '../routing/staleness.js';
import type { Milliseconds } from '../units.js';
import { Prober, type SentProbe } from './prober.js';
import {
  confirmedAt,
  type ElectedPrimary,
  EMPTY_TOPOLOGY,
  electPrimary,
  latestTimeline,
  type ObservedInstance,
  type Topology,
  withConnectionError,
  withInstances,
  withMissedProbe,
  withNotWritable,
  withPiggybackedState,
  withProbeAnswer,
} from './topology.js';

/** What currently needs recent probe answers; determines how often instances are probed. */
export interface ProbeDemand {
  /** Requests have arrived recently. */
  readonly active: boolean;
  /** Waiting time of the oldest unconfirmed run on the primary; undefined if there is none. */
  readonly confirmationAgeMs: Milliseconds | undefined;
  /** Each replica must be sent a probe with a sequence number of at least this. */
  readonly confirmationSequence: number;
  /** Reads are waiting for a replica to replay up to their position. */
  readonly replicaProgress: boolean;
  /** A session's position is on a later timeline than any that this owner knows. */
  readonly laterTimelineExpected: boolean;
}

/** Period of confirmation probes, as a fraction of the confirmation's waiting time. */
const CONFIRMATION_PROBE_PERIOD_PER_AGE = 0.2;

/** A timeline later than the primary's that is not supported by a majority. */
interface LaterTimeline {
  readonly timeline: number;
  readonly firstSeenAt: Milliseconds;
}

/** Result of `confirmedAt` for one topology and primary. */
interface CachedConfirmation {
  readonly topology: Topology;
  readonly primary: ElectedPrimary;
  readonly at: Milliseconds;
}

/** Tracks the state of a group's instances and determines its primary. */
export class InstanceMonitor {
  topology: Topology = EMPTY_TOPOLOGY;
  /** The primary that a majority currently supports. */
  primary: ElectedPrimary | undefined;
  /** Highest timeline whose primary has been adopted; never decreases. */
  timeline = 0;
  private readonly prober: Prober;
  private readonly positionHistory = new PrimaryPositionHistory();
  private readonly lastProbeSequence = new Map<InstanceName, number>();
  private laterTimeline: LaterTimeline | undefined;
  private cachedConfirmation: CachedConfirmation | undefined;
  private newlyUnreachable: InstanceName[] = [];
  /** Instances with a connection error since their last probe was sent. */
  private readonly probeImmediately = new Set<InstanceName>();
  private sequence = 0;

  constructor(
    private readonly options: DatabaseGroupOptions,
    private readonly timing: GroupTiming,
  ) {
    this.prober = new Prober({ timeoutMs: timing.probeTimeoutMs });
  }

  /** Next sequence number; probes sent and runs finished by this owner share one sequence. */
  nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }

  setInstances(
    instances: readonly InstanceDescription[],
    now: Milliseconds,
    effects: GroupEffect[],
  ): void {
    const names = instances.map((instance) => instance.name);
    this.topology = withInstances(this.topology, names);
    this.prober.setInstances(names);
    this.adoptPrimary(now, effects);
  }

  observedInstance(name: InstanceName): ObservedInstance | undefined {
    return this.topology.instances.get(name);
  }

  /**
   * The primary if requests may be sent to it now: a majority supports it, it is reachable, and no
   * later timeline is being investigated.
   */
  usablePrimary(now: Milliseconds): ElectedPrimary | undefined {
    if (this.primary === undefined) return undefined;
    if (this.laterTimeline !== undefined && this.minorityTimeline(now) === undefined)
      return undefined;
    const observed = this.observedInstance(this.primary.instance);
    return observed?.reachability === 'reachable' ? this.primary : undefined;
  }

  /**
   * A later timeline that has had no majority for `laterTimelineSearchMs`, so that it is attributed
   * to an instance promoted by mistake. Always undefined in mode `term`: a vote that is not visible
   * in the voters' timeline yet would be missed. Mode `received` is safe, because a voter that has
   * stopped receiving the old primary's log confirms nothing.
   */
  minorityTimeline(now: Milliseconds): number | undefined {
    const laterTimeline = this.laterTimeline;
    if (laterTimeline === undefined || this.options.confirmationMode === 'term') return undefined;
    return now - laterTimeline.firstSeenAt >= this.timing.laterTimelineSearchMs
      ? laterTimeline.timeline
      : undefined;
  }

  /** Instances that have become unreachable since the last call. */
  takeNewlyUnreachable(): readonly InstanceName[] {
    const names = this.newlyUnreachable;
    this.newlyUnreachable = [];
    return names;
  }

  /** Latest time as of which an instance is known to have replayed all of the primary's writes. */
  freshAsOf(name: InstanceName): Milliseconds {
    const replayed = this.observedInstance(name)?.state?.replayedPosition;
    if (replayed === undefined || this.primary === undefined) return Number.NEGATIVE_INFINITY;
    return this.positionHistory.freshAsOf(replayed, this.confirmedUntil(this.primary));
  }

  /** Latest time at which a majority that includes the primary was on no later timeline. */
  primaryConfirmedAt(): Milliseconds {
    if (this.primary === undefined) return Number.NEGATIVE_INFINITY;
    const ownAnswerAt = this.observedInstance(this.primary.instance)?.observedAt;
    return Math.min(ownAnswerAt ?? Number.NEGATIVE_INFINITY, this.confirmedUntil(this.primary));
  }

  /** Cached for each topology, because it is needed for every request. */
  private confirmedUntil(primary: ElectedPrimary): Milliseconds {
    const { topology } = this;
    if (
      this.cachedConfirmation?.topology !== topology ||
      this.cachedConfirmation.primary !== primary
    ) {
      this.cachedConfirmation = { topology, primary, at: confirmedAt(topology, primary) };
    }
    return this.cachedConfirmation.at;
  }

  /** Records a probe's answer; returns undefined if the probe is no longer tracked. */
  recordProbeAnswer(
    id: ProbeId,
    state: InstanceState,
    now: Milliseconds,
    effects: GroupEffect[],
  ): SentProbe | undefined {
    const probe = this.prober.settle(id)?.probe;
    if (probe === undefined) return undefined;
    const { instance, sentAt, sequence } = probe;
    this.topology = withProbeAnswer(this.topology, instance, state, sentAt, sequence);
    this.adoptPrimary(now, effects);
    if (this.primary?.instance === instance) {
      this.recordPrimaryPosition(state.replayedPosition, sentAt);
    }
    return probe;
  }

  /** Records that a probe's connection was refused or lost. */
  recordProbeFailed(id: ProbeId, now: Milliseconds, effects: GroupEffect[]): void {
    const settled = this.prober.settle(id);
    // A probe that fails after its timeout has already been counted as missed.
    if (settled === undefined || settled.late) return;
    this.recordMissedProbe(settled.probe, true, now, effects);
  }

  /** Records that an instance refused a write because it is in recovery. */
  recordNotWritable(name: InstanceName, now: Milliseconds, effects: GroupEffect[]): void {
    this.topology = withNotWritable(this.topology, name);
    this.adoptPrimary(now, effects);
  }

  recordConnectionError(name: InstanceName): void {
    this.topology = withConnectionError(this.topology, name);
    this.probeImmediately.add(name);
  }

  /** Records the state returned by the query that is appended to a statement. */
  recordPiggybackedState(
    name: InstanceName,
    state: InstanceState,
    now: Milliseconds,
    effects: GroupEffect[],
  ): void {
    this.topology = withPiggybackedState(this.topology, name, state);
    this.adoptPrimary(now, effects);
  }

  /** Records that at time `at` the primary had written at most up to `position`. */
  recordPrimaryPosition(position: Position, at: Milliseconds): void {
    if (position.timeline !== this.primary?.timeline) return;
    this.positionHistory.add({ at, position });
  }

  /** Counts timed-out probes as missed and sends the probes that are due. */
  advance(demand: ProbeDemand, now: Milliseconds, effects: GroupEffect[]): void {
    for (const probe of this.prober.takeTimedOut(now))
      this.recordMissedProbe(probe, false, now, effects);
    for (const name of this.topology.instances.keys()) {
      if (!this.prober.isDue(name, this.probePeriodOf(name, demand, now), now)) continue;
      const probe = this.prober.send(name, this.nextSequence(), now);
      this.lastProbeSequence.set(name, probe.sequence);
      this.probeImmediately.delete(name);
      effects.push({ type: 'probe', probeId: probe.id, instance: name });
    }
  }

  /** Time at which `advance` must next be called. */
  nextDeadline(demand: ProbeDemand, now: Milliseconds): Milliseconds {
    let earliest = Number.POSITIVE_INFINITY;
    for (const name of this.topology.instances.keys()) {
      const period = this.probePeriodOf(name, demand, now);
      earliest = Math.min(earliest, this.prober.nextDueAt(name, period));
    }
    return earliest;
  }

  private probePeriodOf(name: InstanceName, demand: ProbeDemand, now: Milliseconds): Milliseconds {
    if (this.probeImmediately.has(name)) return 0;
    const { timing } = this;
    const observed = this.observedInstance(name);
    const isReachable = observed?.reachability === 'reachable';
    if (isReachable && name !== this.primary?.instance) {
      if ((this.lastProbeSequence.get(name) ?? 0) < demand.confirmationSequence) return 0;
      if (demand.confirmationAgeMs !== undefined) {
        return confirmationPeriod(timing, demand.confirmationAgeMs);
      }
    }
    if (isReachable && demand.replicaProgress) return timing.replicaProgressProbePeriodMs;
    const isSearchingPrimary =
      this.usablePrimary(now) === undefined || demand.laterTimelineExpected;
    if (isSearchingPrimary || observed?.reachability === 'suspect') return timing.fastProbePeriodMs;
    return demand.active ? timing.probePeriodMs : timing.idleProbePeriodMs;
  }

  private recordMissedProbe(
    probe: SentProbe,
    failedOutright: boolean,
    now: Milliseconds,
    effects: GroupEffect[],
  ): void {
    const unreachableAfterMisses = this.timing.unreachableAfterMisses;
    const before = this.observedInstance(probe.instance)?.reachability;
    this.topology = withMissedProbe(
      this.topology,
      probe.instance,
      unreachableAfterMisses,
      failedOutright,
    );
    const after = this.observedInstance(probe.instance)?.reachability;
    if (after === 'unreachable' && before !== after) this.newlyUnreachable.push(probe.instance);
    this.adoptPrimary(now, effects);
  }

  private adoptPrimary(now: Milliseconds, effects: GroupEffect[]): void {
    const requireMajority = !this.options.disabledMechanisms?.has('majority-election');
    const elected = electPrimary(this.topology, requireMajority);
    const next = elected !== undefined && elected.timeline >= this.timeline ? elected : undefined;
    this.trackLaterTimeline(next?.timeline ?? this.timeline, now);
    const previous = this.primary;
    const isUnchanged =
      previous?.instance === next?.instance && previous?.timeline === next?.timeline;
    if (isUnchanged) return;
    this.primary = next;
    if (next !== undefined) {
      this.timeline = next.timeline;
      this.positionHistory.clear();
      this.recordKnownPosition(next);
    }
    effects.push({
      type: 'primary-changed',
      group: this.options.group,
      from: previous?.instance,
      to: next?.instance,
      timeline: this.timeline,
    });
  }

  private recordKnownPosition(primary: ElectedPrimary): void {
    const observed = this.observedInstance(primary.instance);
    if (observed?.state === undefined) return;
    this.recordPrimaryPosition(observed.state.replayedPosition, observed.observedAt);
  }

  private trackLaterTimeline(adoptedTimeline: number, now: Milliseconds): void {
    const latest = latestTimeline(this.topology);
    if (latest <= adoptedTimeline) this.laterTimeline = undefined;
    else if (this.laterTimeline?.timeline !== latest) {
      this.laterTimeline = { timeline: latest, firstSeenAt: now };
    }
  }
}

/** Probe period that grows with the time the confirmation has been waiting. */
function confirmationPeriod(timing: GroupTiming, ageMs: Milliseconds): Milliseconds {
  const proportionalMs = ageMs * CONFIRMATION_PROBE_PERIOD_PER_AGE;
  const { confirmationProbePeriodMs, fastProbePeriodMs } = timing;
  return Math.min(fastProbePeriodMs, Math.max(confirmationProbePeriodMs, proportionalMs));
}
