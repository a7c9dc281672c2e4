/**
 * Watches a group's instances: takes in what they say, decides which one is the primary and when
 * each is to be asked again.
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
import { PrimaryHistory } from '../routing/staleness.js';
import type { Milliseconds } from '../units.js';
import { Prober, type SentProbe } from './prober.js';
import {
  confirmedAt,
  EMPTY_TOPOLOGY,
  electPrimary,
  type InstanceKnowledge,
  latestTimeline,
  type PrimaryView,
  type Topology,
  withConnectionError,
  withInstances,
  withNotWritable,
  withPassingState,
  withProbeAnswer,
  withProbeMissed,
} from './topology.js';

/** Who waits for fresh knowledge at the moment. */
export interface ProbeDemand {
  /** Requests came lately. */
  readonly active: boolean;
  /** How long the oldest thing that ran on the primary has waited; undefined if none waits. */
  readonly confirmationAgeMs: Milliseconds | undefined;
  /** Each replica is to be sent a probe later than this in the owner's order. */
  readonly confirmationSequence: number;
  /** Reads wait for a replica to catch up. */
  readonly replicaProgress: boolean;
  /** A session has seen a later timeline than this owner knows of. */
  readonly laterTimelineExpected: boolean;
}

const CONFIRMATION_PERIOD_SHARE_OF_AGE = 0.2;

/** A timeline later than the primary's that no majority supports. */
interface LaterTimeline {
  readonly timeline: number;
  readonly seenAt: Milliseconds;
}

/** `confirmedAt` of one topology. */
interface ConfirmedTime {
  readonly topology: Topology;
  readonly primary: PrimaryView;
  readonly at: Milliseconds;
}

/** Knowledge of a group's instances. */
export class InstanceMonitor {
  topology: Topology = EMPTY_TOPOLOGY;
  /** The primary that a majority supports at present. */
  primary: PrimaryView | undefined;
  /** Latest timeline whose primary was adopted; never goes back. */
  timeline = 0;
  private readonly prober: Prober;
  private readonly history = new PrimaryHistory();
  private readonly lastSequence = new Map<InstanceName, number>();
  private laterTimeline: LaterTimeline | undefined;
  private confirmed: ConfirmedTime | undefined;
  private newlyUnreachable: InstanceName[] = [];
  /** Connections of these broke since their last probe was sent. */
  private readonly probeAtOnce = new Set<InstanceName>();
  private sequence = 0;

  constructor(
    private readonly options: DatabaseGroupOptions,
    private readonly timing: GroupTiming,
  ) {
    this.prober = new Prober({ timeoutMs: timing.probeTimeoutMs });
  }

  /** Next number in this owner's order of probes sent and runs finished. */
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

  knowledgeOf(name: InstanceName): InstanceKnowledge | undefined {
    return this.topology.instances.get(name);
  }

  /**
   * The primary if it may be sent work now: supported by a majority, not under suspicion, and no
   * later timeline is being looked into.
   */
  usablePrimary(now: Milliseconds): PrimaryView | undefined {
    if (this.primary === undefined) return undefined;
    if (this.laterTimeline !== undefined && this.strayTimeline(now) === undefined) return undefined;
    const knowledge = this.knowledgeOf(this.primary.instance);
    return knowledge?.reachability === 'reachable' ? this.primary : undefined;
  }

  /**
   * A later timeline that has found no majority for so long that it is taken for an instance
   * promoted by mistake. In mode `term` there is no such thing: a vote that has not shown in the
   * voters' timeline yet would be overlooked, while in mode `received` a voter that has stopped
   * receiving the old primary's log confirms nothing.
   */
  strayTimeline(now: Milliseconds): number | undefined {
    const later = this.laterTimeline;
    if (later === undefined || this.options.confirmationMode === 'term') return undefined;
    return now - later.seenAt >= this.timing.laterTimelineSearchMs ? later.timeline : undefined;
  }

  /** Instances that have become unreachable since the last call. */
  takeNewlyUnreachable(): readonly InstanceName[] {
    const names = this.newlyUnreachable;
    this.newlyUnreachable = [];
    return names;
  }

  /** As of when an instance's data are known to be complete. */
  freshAsOf(name: InstanceName): Milliseconds {
    const replayed = this.knowledgeOf(name)?.state?.replayedPosition;
    if (replayed === undefined || this.primary === undefined) return Number.NEGATIVE_INFINITY;
    return this.history.freshAsOf(replayed, this.confirmedUntil(this.primary));
  }

  /** The latest time at which a majority, the primary itself among it, had no later timeline. */
  primaryConfirmedAt(): Milliseconds {
    if (this.primary === undefined) return Number.NEGATIVE_INFINITY;
    const ownAnswerAt = this.knowledgeOf(this.primary.instance)?.observedAt;
    return Math.min(ownAnswerAt ?? Number.NEGATIVE_INFINITY, this.confirmedUntil(this.primary));
  }

  /** Computed once for each topology: it is asked for every request. */
  private confirmedUntil(primary: PrimaryView): Milliseconds {
    const { topology } = this;
    if (this.confirmed?.topology !== topology || this.confirmed.primary !== primary) {
      this.confirmed = { topology, primary, at: confirmedAt(topology, primary) };
    }
    return this.confirmed.at;
  }

  /** Takes in an answer; undefined if the probe is not known any more. */
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

  /** A probe failed outright. */
  recordProbeFailed(id: ProbeId, now: Milliseconds, effects: GroupEffect[]): void {
    const settled = this.prober.settle(id);
    // One that failed late has counted as missed already.
    if (settled === undefined || settled.late) return;
    this.recordMiss(settled.probe, true, now, effects);
  }

  /** An instance refused a write because it is in recovery. */
  recordNotWritable(name: InstanceName, now: Milliseconds, effects: GroupEffect[]): void {
    this.topology = withNotWritable(this.topology, name);
    this.adoptPrimary(now, effects);
  }

  recordConnectionError(name: InstanceName): void {
    this.topology = withConnectionError(this.topology, name);
    this.probeAtOnce.add(name);
  }

  /** Takes in what a query that trailed a statement said. */
  recordPassingState(
    name: InstanceName,
    state: InstanceState,
    now: Milliseconds,
    effects: GroupEffect[],
  ): void {
    this.topology = withPassingState(this.topology, name, state);
    this.adoptPrimary(now, effects);
  }

  /** At `at`, the primary had written at most up to `position`. */
  recordPrimaryPosition(position: Position, at: Milliseconds): void {
    if (position.timeline !== this.primary?.timeline) return;
    this.history.add({ at, position });
  }

  /** Gives up probes whose time is over, and sends those that are due. */
  advance(demand: ProbeDemand, now: Milliseconds, effects: GroupEffect[]): void {
    for (const probe of this.prober.takeTimedOut(now)) this.recordMiss(probe, false, now, effects);
    for (const name of this.topology.instances.keys()) {
      if (!this.prober.isDue(name, this.periodOf(name, demand, now), now)) continue;
      const probe = this.prober.send(name, this.nextSequence(), now);
      this.lastSequence.set(name, probe.sequence);
      this.probeAtOnce.delete(name);
      effects.push({ type: 'probe', probeId: probe.id, instance: name });
    }
  }

  /** When `advance` next has something to do. */
  nextDeadline(demand: ProbeDemand, now: Milliseconds): Milliseconds {
    let earliest = Number.POSITIVE_INFINITY;
    for (const name of this.topology.instances.keys()) {
      const period = this.periodOf(name, demand, now);
      earliest = Math.min(earliest, this.prober.nextDueAt(name, period));
    }
    return earliest;
  }

  private periodOf(name: InstanceName, demand: ProbeDemand, now: Milliseconds): Milliseconds {
    if (this.probeAtOnce.has(name)) return 0;
    const { timing } = this;
    const knowledge = this.knowledgeOf(name);
    const answers = knowledge?.reachability === 'reachable';
    if (answers && name !== this.primary?.instance) {
      if ((this.lastSequence.get(name) ?? 0) < demand.confirmationSequence) return 0;
      if (demand.confirmationAgeMs !== undefined) {
        return confirmationPeriod(timing, demand.confirmationAgeMs);
      }
    }
    if (answers && demand.replicaProgress) return timing.replicaProgressProbePeriodMs;
    const searching = this.usablePrimary(now) === undefined || demand.laterTimelineExpected;
    if (searching || knowledge?.reachability === 'suspect') return timing.fastProbePeriodMs;
    return demand.active ? timing.probePeriodMs : timing.idleProbePeriodMs;
  }

  private recordMiss(
    probe: SentProbe,
    failedOutright: boolean,
    now: Milliseconds,
    effects: GroupEffect[],
  ): void {
    const limit = this.timing.unreachableAfterMisses;
    const before = this.knowledgeOf(probe.instance)?.reachability;
    this.topology = withProbeMissed(this.topology, probe.instance, limit, failedOutright);
    const after = this.knowledgeOf(probe.instance)?.reachability;
    if (after === 'unreachable' && before !== after) this.newlyUnreachable.push(probe.instance);
    this.adoptPrimary(now, effects);
  }

  private adoptPrimary(now: Milliseconds, effects: GroupEffect[]): void {
    const requireMajority = !this.options.disabledMechanisms?.has('majority-election');
    const elected = electPrimary(this.topology, requireMajority);
    const next = elected !== undefined && elected.timeline >= this.timeline ? elected : undefined;
    this.noteLaterTimeline(next?.timeline ?? this.timeline, now);
    const previous = this.primary;
    const same = previous?.instance === next?.instance && previous?.timeline === next?.timeline;
    if (same) return;
    this.primary = next;
    if (next !== undefined) {
      this.timeline = next.timeline;
      this.history.clear();
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

  private recordKnownPosition(primary: PrimaryView): void {
    const knowledge = this.knowledgeOf(primary.instance);
    if (knowledge?.state === undefined) return;
    this.recordPrimaryPosition(knowledge.state.replayedPosition, knowledge.observedAt);
  }

  private noteLaterTimeline(adopted: number, now: Milliseconds): void {
    const latest = latestTimeline(this.topology);
    if (latest <= adopted) this.laterTimeline = undefined;
    else if (this.laterTimeline?.timeline !== latest) {
      this.laterTimeline = { timeline: latest, seenAt: now };
    }
  }
}

/** Probes again soon at first, and more slowly the longer the confirmation takes. */
function confirmationPeriod(timing: GroupTiming, ageMs: Milliseconds): Milliseconds {
  const adaptive = ageMs * CONFIRMATION_PERIOD_SHARE_OF_AGE;
  const { confirmationProbePeriodMs, fastProbePeriodMs } = timing;
  return Math.min(fastProbePeriodMs, Math.max(confirmationProbePeriodMs, adaptive));
}
