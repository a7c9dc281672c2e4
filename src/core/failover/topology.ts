/**
 * What is known of a group's instances: an immutable description that each observation replaces
 * by a new one, and the view of the primary that follows from it. Pure functions only.
 */
import type { InstanceState } from '../group/contract.js';
import { laterPosition } from '../position.js';
import type { InstanceName } from '../request.js';
import type { Milliseconds } from '../units.js';

/**
 * `unknown`: never answered. `suspect`: a connection error or a missed probe since its last answer.
 * `unreachable`: several probes missed, or a probe failed outright.
 */
export type Reachability = 'unknown' | 'reachable' | 'suspect' | 'unreachable';

/** What is known of one instance. Positions are lower bounds of the truth. */
export interface InstanceKnowledge {
  readonly name: InstanceName;
  /** Last answer, undefined if it never answered. */
  readonly state: InstanceState | undefined;
  /** When the probe behind `state` was sent: the state is at least as new as this. */
  readonly observedAt: Milliseconds;
  /** Order of that probe among all probes and finished runs of this owner. */
  readonly observedSequence: number;
  readonly reachability: Reachability;
  readonly missedProbes: number;
}

/** Everything known of a group at one moment. */
export interface Topology {
  readonly instances: ReadonlyMap<InstanceName, InstanceKnowledge>;
}

/** The primary that a majority supports. */
export interface PrimaryView {
  readonly instance: InstanceName;
  readonly timeline: number;
}

/** Before any instance was named. */
export const EMPTY_TOPOLOGY: Topology = { instances: new Map() };

/** Smallest number of instances that is more than half. */
export function majorityOf(instanceCount: number): number {
  return Math.floor(instanceCount / 2) + 1;
}

/** The latest timeline that an instance shows any sign of. */
export function timelineOf(state: InstanceState): number {
  return Math.max(state.replayedPosition.timeline, state.receivedPosition.timeline);
}

/** Keeps what is known of instances that stay, forgets the others. */
export function withInstances(topology: Topology, names: readonly InstanceName[]): Topology {
  const instances = new Map<InstanceName, InstanceKnowledge>();
  for (const name of names) {
    instances.set(name, topology.instances.get(name) ?? unknownInstance(name));
  }
  return { instances };
}

function unknownInstance(name: InstanceName): InstanceKnowledge {
  return {
    name,
    state: undefined,
    observedAt: Number.NEGATIVE_INFINITY,
    observedSequence: 0,
    reachability: 'unknown',
    missedProbes: 0,
  };
}

/** Takes in the answer to a probe. An answer to an older probe than the known one is ignored. */
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
 * Takes in a state learned in passing. Its time is not known exactly, so that it may only raise
 * positions; it leaves the time of observation alone.
 */
export function withPassingState(
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

/** An instance said in passing that it is in recovery: it leads no more, whatever it said before. */
export function withNotWritable(topology: Topology, name: InstanceName): Topology {
  const known = topology.instances.get(name);
  if (known?.state === undefined) return topology;
  return replaceInstance(topology, { ...known, state: { ...known.state, writable: false } });
}

/** An error on a connection: suspect until the next answer. */
export function withConnectionError(topology: Topology, name: InstanceName): Topology {
  const known = topology.instances.get(name);
  if (known === undefined || known.reachability !== 'reachable') return topology;
  return replaceInstance(topology, { ...known, reachability: 'suspect' });
}

/** A probe was not answered in time, or (`failedOutright`) its connection was refused or lost. */
export function withProbeMissed(
  topology: Topology,
  name: InstanceName,
  unreachableAfter: number,
  failedOutright: boolean,
): Topology {
  const known = topology.instances.get(name);
  if (known === undefined) return topology;
  const missedProbes = known.missedProbes + 1;
  const gone = failedOutright || missedProbes >= unreachableAfter;
  return replaceInstance(topology, {
    ...known,
    missedProbes,
    reachability: gone ? 'unreachable' : 'suspect',
  });
}

function replaceInstance(topology: Topology, instance: InstanceKnowledge): Topology {
  const instances = new Map(topology.instances);
  instances.set(instance.name, instance);
  return { instances };
}

/**
 * The primary: the instance that says writable on the highest timeline that a majority of the
 * group's instances has. Instances on other timelines don't count as support.
 */
export function electPrimary(topology: Topology, requireMajority = true): PrimaryView | undefined {
  const needed = requireMajority ? majorityOf(topology.instances.size) : 1;
  let best: PrimaryView | undefined;
  for (const instance of topology.instances.values()) {
    if (instance.state?.writable !== true) continue;
    const timeline = instance.state.replayedPosition.timeline;
    if (best !== undefined && timeline <= best.timeline) continue;
    if (supportOf(topology, timeline) < needed) continue;
    best = { instance: instance.name, timeline };
  }
  return best;
}

function supportOf(topology: Topology, timeline: number): number {
  let support = 0;
  for (const instance of topology.instances.values()) {
    if (instance.state !== undefined && timelineOf(instance.state) === timeline) support += 1;
  }
  return support;
}

/** The latest timeline that any instance shows; zero if none answered yet. */
export function latestTimeline(topology: Topology): number {
  let latest = 0;
  for (const instance of topology.instances.values()) {
    if (instance.state !== undefined) latest = Math.max(latest, timelineOf(instance.state));
  }
  return latest;
}

/**
 * The latest time at which a majority is known to have had no later timeline than the primary's:
 * the primary itself and enough others, by the times their probes were sent.
 */
export function confirmedAt(topology: Topology, primary: PrimaryView): Milliseconds {
  const others = majorityOf(topology.instances.size) - 1;
  if (others === 0) return Number.POSITIVE_INFINITY;
  const times: Milliseconds[] = [];
  for (const instance of topology.instances.values()) {
    if (instance.name === primary.instance || instance.state === undefined) continue;
    if (timelineOf(instance.state) <= primary.timeline) times.push(instance.observedAt);
  }
  times.sort((left, right) => right - left);
  return times[others - 1] ?? Number.NEGATIVE_INFINITY;
}
