/**
 * Ranks instances for a read by expected time, with an extra cost for other zones because traffic between
 * zones costs money. Consistency is not decided here: the required log position ensures it at any instance.
 */
import type { Milliseconds } from '../units.js';

/** Load and state of one instance, as this node knows them. */
export interface InstanceLoad {
  readonly id: string;
  readonly sameZone: boolean;
  readonly primary: boolean;
  /** Number of statements of this node that run at the instance or wait for a connection to it. */
  readonly outstanding: number;
  /** Recent answer time. */
  readonly answerMs: Milliseconds;
  /** Time until which the instance is avoided after a failure. */
  readonly avoidUntil: Milliseconds;
}

export interface InstanceChoiceOptions {
  readonly otherZoneCostMs: Milliseconds;
  /** Keeps the primary free for work that only it can do. */
  readonly primaryCostMs: Milliseconds;
  readonly avoidedCostMs: Milliseconds;
  /** Fraction of the answer time that each outstanding statement adds. */
  readonly outstandingFactor: number;
}

export const DEFAULT_INSTANCE_CHOICE_OPTIONS: InstanceChoiceOptions = {
  otherZoneCostMs: 40,
  primaryCostMs: 10,
  avoidedCostMs: 1000,
  outstandingFactor: 0.5,
};

/** Expected cost of the next statement at an instance. */
export function expectedCost(
  load: InstanceLoad,
  now: Milliseconds,
  options = DEFAULT_INSTANCE_CHOICE_OPTIONS,
): Milliseconds {
  const queueingFactor = 1 + load.outstanding * options.outstandingFactor;
  let cost = load.answerMs * queueingFactor;
  if (!load.sameZone) cost += options.otherZoneCostMs;
  if (load.primary) cost += options.primaryCostMs;
  if (load.avoidUntil > now) cost += options.avoidedCostMs;
  return cost;
}

/** Sorts instances by expected cost, best first. */
export function rankInstances<Load extends InstanceLoad>(
  loads: readonly Load[],
  now: Milliseconds,
  options = DEFAULT_INSTANCE_CHOICE_OPTIONS,
): Load[] {
  const costs = new Map(loads.map((load) => [load, expectedCost(load, now, options)]));
  return [...loads].sort((left, right) => (costs.get(left) ?? 0) - (costs.get(right) ?? 0));
}
