/**
 * Which instance serves a read that a position already makes safe: the one with the least expected
 * time, where another zone costs extra because traffic between zones is dear.
 */
import type { Milliseconds } from '../units.js';

/** What this node knows of one instance. */
export interface InstanceLoad {
  readonly id: string;
  readonly sameZone: boolean;
  readonly primary: boolean;
  /** Statements of this node at the instance or waiting for a connection to it. */
  readonly outstanding: number;
  /** Recent time of an answer. */
  readonly answerMs: Milliseconds;
  /** Point in time until which it is avoided after a failure. */
  readonly avoidUntil: Milliseconds;
}

export interface InstanceChoiceOptions {
  readonly otherZoneCostMs: Milliseconds;
  /** Keeps the primary free for what only it can do. */
  readonly primaryCostMs: Milliseconds;
  readonly avoidedCostMs: Milliseconds;
  /** Part of an answer's time that each outstanding statement adds. */
  readonly outstandingFactor: number;
}

export const DEFAULT_INSTANCE_CHOICE_OPTIONS: InstanceChoiceOptions = {
  otherZoneCostMs: 40,
  primaryCostMs: 10,
  avoidedCostMs: 1000,
  outstandingFactor: 0.5,
};

/** Expected cost of the next statement at an instance; lower is better. */
export function expectedCost(
  load: InstanceLoad,
  now: Milliseconds,
  options = DEFAULT_INSTANCE_CHOICE_OPTIONS,
): Milliseconds {
  const queueing = 1 + load.outstanding * options.outstandingFactor;
  let cost = load.answerMs * queueing;
  if (!load.sameZone) cost += options.otherZoneCostMs;
  if (load.primary) cost += options.primaryCostMs;
  if (load.avoidUntil > now) cost += options.avoidedCostMs;
  return cost;
}

/** Instances by expected cost, best first. */
export function rankInstances<Load extends InstanceLoad>(
  loads: readonly Load[],
  now: Milliseconds,
  options = DEFAULT_INSTANCE_CHOICE_OPTIONS,
): Load[] {
  const costs = new Map(loads.map((load) => [load, expectedCost(load, now, options)]));
  return [...loads].sort((left, right) => (costs.get(left) ?? 0) - (costs.get(right) ?? 0));
}
