/**
 * The observed state of a group's instances, and the primary derived from it. The topology is
 * immutable: pure functions return a new one for each observation.
 */
import type { InstanceState } from '../group/contract.js';
import { laterPosition } from '../position.js';
import type { InstanceName } from '../request.js';
import type { Milliseconds } from '../units.js';

/**
 * `unknown`: has never answered. `suspect`: a connection error or a missed probe since the last
 * answer. `unreachable`: several probes missed, or a probe's connection was refused or lost.
 */
export type Reachability = 'unknown' | 'reachable' | 'suspect' | 'unreachable';

/** Observed state of one instance. Its actual positions are at least those in `state`. */
export interface ObservedInstance {
  readonly name: InstanceName;
  /** State from the latest answer; undefined if the instance has never answered. */
  readonly state: InstanceState | undefined;
  /** When the probe that returned `state` was sent: the state is at least as recent as this. */
  readonly observedAt: Milliseconds;
  /** Sequence number of that probe; probes and finished runs of an owner share one sequence. */
  readonly observedSequence: number;
  readonly reachability: Reachability;
  readonly missedProbes: number;
}

/** Observed state of all instances of a group. */
export interface Topology {
  readonly instances: ReadonlyMap<InstanceName, ObservedInstance>;
}

/** The primary that a majority supports. */
export interface ElectedPrimary {
  readonly instance: InstanceName;
  readonly timeline: number;
}

/** Topology before any instance is known. */
export const EMPTY_TOPOLOGY: Topology = { instances: new Map() };

/** Smallest number of instances that is more than half. */
export function majorityOf(instanceCount: number): number {
  return Math.floor(instanceCount / 2) + 1;
}

/** Highest timeline that an instance has replayed or received log from. */
export function timelineOf(state: InstanceState): number {
  return Math.max(state.replayedPosition.timeline, state.receivedPosition.timeline);
}

/** Sets the group's instances; the observed state of those that remain is kept. */
export function withInstances(topology: Topology, names: readonly InstanceName[]): Topology {
  const instances = new Map<InstanceName, ObservedInstance>();
  for (const name of names) {
    instances.set(name, topology.instances.get(name) ?? unknownInstance(name));
  }
  return { instances };
}

function unknownInstance(name: InstanceName): ObservedInstance {
  return {
    name,
    state: undefined,
    observedAt: Number.NEGATIVE_INFINITY,
    observedSequence: 0,
    reachability: 'unknown',
    missedProbes: 0,
  };
}

/** Applies a probe's answer, unless a probe sent later has already been answered. */
export function withProbeAnswer(
  topology: Topology,
  name: InstanceName,
  state: InstanceState,
  sentAt: Milliseconds,
  sequence: number,
): Topology {
  const known = topology.instances.get(name);
  if (known === undefined || known.observedSequence > sequence) return topology;
  return replaceInstance(topology, {
    name,
    state,
    observedAt: sentAt,
    observedSequence: sequence,
    reachability: 'reachable',
    missedProbes: 0,
  });
}

/**
 * Applies a state returned along with a statement's result. The time of that state is not known
 * exactly, so it can only advance positions; `observedAt` is left unchanged.
 */
export function withPiggybackedState(
  topology: Topology,
  name: InstanceName,
  state: InstanceState,
): Topology {
  const known = topology.instances.get(name);
  if (known?.state === undefined) return topology;
  const raised: InstanceState = {
    writable: known.state.writable,
    replayedPosition: laterPosition(known.state.replayedPosition, state.replayedPosition),
    receivedPosition: laterPosition(known.state.receivedPosition, state.receivedPosition),
  };
  return replaceInstance(topology, { ...known, state: raised });
}

/** Marks an instance as not writable after it refused a write because it is in recovery. */
export function withNotWritable(topology: Topology, name: InstanceName): Topology {
  const known = topology.instances.get(name);
  if (known?.state === undefined) return topology;
  return replaceInstance(topology, { ...known, state: { ...known.state, writable: false } });
}

/** Marks an instance as suspect until its next answer, after an error on a connection. */
export function withConnectionError(topology: Topology, name: InstanceName): Topology {
  const known = topology.instances.get(name);
  if (known === undefined || known.reachability !== 'reachable') return topology;
  return replaceInstance(topology, { ...known, reachability: 'suspect' });
}

/** Counts a probe that timed out or (`failedOutright`) whose connection was refused or lost. */
export function withMissedProbe(
  topology: Topology,
  name: InstanceName,
  unreachableAfterMisses: number,
  failedOutright: boolean,
): Topology {
  const known = topology.instances.get(name);
  if (known === undefined) return topology;
  const missedProbes = known.missedProbes + 1;
  const isUnreachable = failedOutright || missedProbes >= unreachableAfterMisses;
  return replaceInstance(topology, {
    ...known,
    missedProbes,
    reachability: isUnreachable ? 'unreachable' : 'suspect',
  });
}

function replaceInstance(topology: Topology, instance: ObservedInstance): Topology {
  const instances = new Map(topology.instances);
  instances.set(instance.name, instance);
  return { instances };
}

/**
 * The primary: the instance that reports itself writable on the highest timeline that a majority of
 * the group's instances is on. Instances on other timelines don't count towards the majority.
 */
export function electPrimary(
  topology: Topology,
  requireMajority = true,
): ElectedPrimary | undefined {
  const needed = requireMajority ? majorityOf(topology.instances.size) : 1;
  let best: ElectedPrimary | undefined;
  for (const instance of topology.instances.values()) {
    if (instance.state?.writable !== true) continue;
    const timeline = instance.state.replayedPosition.timeline;
    if (best !== undefined && timeline <= best.timeline) continue;
    if (countSupport(topology, timeline) < needed) continue;
    best = { instance: instance.name, timeline };
  }
  return best;
}

function countSupport(topology: Topology, timeline: number): number {
  let support = 0;
  for (const instance of topology.instances.values()) {
    if (instance.state !== undefined && timelineOf(instance.state) === timeline) support += 1;
  }
  return support;
}

/** Highest timeline of any instance; zero if none has answered yet. */
export function latestTimeline(topology: Topology): number {
  let latest = 0;
  for (const instance of topology.instances.values()) {
    if (instance.state !== undefined) latest = Math.max(latest, timelineOf(instance.state));
  }
  return latest;
}

/**
 * Latest time at which a majority, counted as the primary and enough other instances, was known to
 * be on no later timeline than the primary's. Uses the times at which the probes were sent.
 */
export function confirmedAt(topology: Topology, primary: ElectedPrimary): Milliseconds {
  const requiredOthers = majorityOf(topology.instances.size) - 1;
  if (requiredOthers === 0) return Number.POSITIVE_INFINITY;
  const times: Milliseconds[] = [];
  for (const instance of topology.instances.values()) {
    if (instance.name === primary.instance || instance.state === undefined) continue;
    if (timelineOf(instance.state) <= primary.timeline) times.push(instance.observedAt);
  }
  times.sort((left, right) => right - left);
  return times[requiredOthers - 1] ?? Number.NEGATIVE_INFINITY;
}
