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
  withPassingState,
  withProbeAnswer,
  withProbeMissed,
} from './topology.js';

/** Who waits for fresh knowledge at the moment. */
export interface ProbeDemand {
  /** Requests came lately. */
  readonly active: boolean;
  /** Something finished on the primary waits for confirmation. */
  readonly confirmation: boolean;
  /** Order of the latest thing that waits for confirmation. */
  readonly confirmationSequence: number;
  /** Reads wait for a replica to catch up. */
  readonly replicaProgress: boolean;
  /** A session has seen a later timeline than this owner knows of. */
  readonly laterTimelineExpected: boolean;
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
  private laterTimelineSeenAt = Number.NEGATIVE_INFINITY;
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

  /** The primary if it may be sent work now: supported by a majority and not under suspicion. */
  usablePrimary(): PrimaryView | undefined {
    if (this.primary === undefined) return undefined;
    const knowledge = this.knowledgeOf(this.primary.instance);
    return knowledge?.reachability === 'reachable' ? this.primary : undefined;
  }

  /** As of when an instance's data are known to be complete. */
  freshAsOf(name: InstanceName): Milliseconds {
    const replayed = this.knowledgeOf(name)?.state?.replayed;
    if (replayed === undefined || this.primary === undefined) return Number.NEGATIVE_INFINITY;
    return this.history.freshAsOf(replayed, confirmedAt(this.topology, this.primary));
  }

  /** Takes in an answer; false if the probe was given up before or its instance has gone. */
  recordProbeAnswer(
    id: ProbeId,
    state: InstanceState,
    now: Milliseconds,
    effects: GroupEffect[],
  ): SentProbe | undefined {
    const probe = this.prober.settle(id);
    if (probe === undefined) return undefined;
    const { instance, sentAt, sequence } = probe;
    this.topology = withProbeAnswer(this.topology, instance, state, sentAt, sequence);
    this.adoptPrimary(now, effects);
    if (this.primary?.instance === instance) {
      this.recordPrimaryPosition(state.replayed, sentAt);
    }
    return probe;
  }

  /** A probe failed outright. */
  recordProbeFailed(id: ProbeId, now: Milliseconds, effects: GroupEffect[]): void {
    const probe = this.prober.settle(id);
    if (probe === undefined) return;
    this.recordMiss(probe, true, now, effects);
  }

  recordConnectionError(name: InstanceName): void {
    this.topology = withConnectionError(this.topology, name);
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
    const { timing } = this;
    const knowledge = this.knowledgeOf(name);
    const usable = this.usablePrimary();
    const answers = knowledge?.reachability === 'reachable';
    if (answers && demand.confirmation && name !== this.primary?.instance) {
      const covered = (this.lastSequence.get(name) ?? 0) > demand.confirmationSequence;
      return covered ? timing.confirmationProbePeriodMs : 0;
    }
    if (answers && demand.replicaProgress) return timing.replicaProgressProbePeriodMs;
    if (usable === undefined || knowledge?.reachability === 'suspect') {
      return timing.fastProbePeriodMs;
    }
    const searching = now - this.laterTimelineSeenAt < timing.laterTimelineSearchMs;
    if (searching || demand.laterTimelineExpected) return timing.fastProbePeriodMs;
    return demand.active ? timing.probePeriodMs : timing.quietProbePeriodMs;
  }

  private recordMiss(
    probe: SentProbe,
    failedOutright: boolean,
    now: Milliseconds,
    effects: GroupEffect[],
  ): void {
    const limit = this.timing.unreachableAfterMisses;
    this.topology = withProbeMissed(this.topology, probe.instance, limit, failedOutright);
    this.adoptPrimary(now, effects);
  }

  private adoptPrimary(now: Milliseconds, effects: GroupEffect[]): void {
    const requireMajority = !this.options.without?.has('majority-election');
    const elected = electPrimary(this.topology, requireMajority);
    const next = elected !== undefined && elected.timeline >= this.timeline ? elected : undefined;
    if (latestTimeline(this.topology) > (next?.timeline ?? 0)) this.noteLaterTimeline(now);
    const previous = this.primary;
    const same = previous?.instance === next?.instance && previous?.timeline === next?.timeline;
    if (same) return;
    this.primary = next;
    if (next !== undefined) {
      this.timeline = next.timeline;
      this.laterTimelineSeenAt = Number.NEGATIVE_INFINITY;
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
    this.recordPrimaryPosition(knowledge.state.replayed, knowledge.observedAt);
  }

  private noteLaterTimeline(now: Milliseconds): void {
    if (this.laterTimelineSeenAt === Number.NEGATIVE_INFINITY) this.laterTimelineSeenAt = now;
  }
}
