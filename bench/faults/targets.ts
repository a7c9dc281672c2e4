/** Picks what a fault hits; the same seed picks the same. */
import { MeadowstackError } from '../../src/core/errors.js';
import type { DatabaseGroup, DatabaseInstanceHandle } from '../harness/database-group.js';
import type { RunningProxy } from '../harness/proxy-process.js';
import { nowMs } from '../load/clock.js';
import type { PrimaryFailure } from '../load/failover-gap.js';
import type { Random } from '../load/random.js';
import type { FaultContext } from './fault.js';

/** There is nothing that the fault could hit. */
export class NoTargetError extends MeadowstackError {
  readonly code = 'MS-BENCH-TARGET';
}

/** A group with the instance that leads it now. */
export interface PrimaryTarget {
  readonly group: string;
  readonly database: DatabaseGroup;
  readonly primary: DatabaseInstanceHandle;
}

/** @throws NoTargetError if there are no items. */
export function pick<Item>(items: readonly Item[], random: Random): Item {
  const item = items[random.below(items.length)];
  if (item === undefined) throw new NoTargetError('nothing to pick from');
  return item;
}

export async function pickPrimary({
  cluster,
  deployment,
  random,
}: FaultContext): Promise<PrimaryTarget> {
  const group = pick(deployment.groups, random);
  const database = cluster.group(group);
  return { group, database, primary: await database.waitForPrimary() };
}

/** One replica of every group of the deployment. */
export async function pickReplicas({
  cluster,
  deployment,
  random,
}: FaultContext): Promise<{ database: DatabaseGroup; replica: DatabaseInstanceHandle }[]> {
  const picked = [];
  for (const group of deployment.groups) {
    const database = cluster.group(group);
    const primary = await database.waitForPrimary();
    const replicas = database.instances.filter(({ name }) => name !== primary.name);
    picked.push({ database, replica: pick(replicas, random) });
  }
  return picked;
}

export function pickProxy({ cluster, random }: FaultContext): RunningProxy {
  return pick([...cluster.proxies.values()], random);
}

/** The group's primary fails from now on. */
export function failureOf(group: string): PrimaryFailure {
  return { group, at: nowMs() };
}
