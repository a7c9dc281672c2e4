/** Picks what a fault hits; the same seed picks the same. */
import { setTimeout as delay } from 'node:timers/promises';
import { MeadowstackError } from '../../src/core/errors.js';
import type { InstanceState } from '../../standins/database/instance.js';
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

const PRIMARY_LIMIT_MS = 3_000;
const PRIMARY_POLL_MS = 20;
const STATE_TIMEOUT_MS = 300;

/** @throws NoTargetError if there are no items. */
export function pick<Item>(items: readonly Item[], random: Random): Item {
  const item = items[random.integerBelow(items.length)];
  if (item === undefined) throw new NoTargetError('nothing to pick from');
  return item;
}

/** Picks a group; its primary may be a while in coming if another fault has just hit the group. */
export async function pickPrimary({
  cluster,
  deployment,
  random,
}: FaultContext): Promise<PrimaryTarget> {
  const group = pick(deployment.groups, random);
  const database = cluster.group(group);
  return { group, database, primary: await awaitPrimary(database) };
}

/** The leader of the latest timeline among the instances that answer; undefined if there is none. */
export async function currentPrimary(
  database: DatabaseGroup,
): Promise<DatabaseInstanceHandle | undefined> {
  const answers = await Promise.all(
    database.instances.map(async (instance) => ({
      instance,
      state: await readState(database, instance.name),
    })),
  );
  const leaders = answers.filter(({ state }) => state?.role === 'primary');
  const timelineOf = ({ state }: (typeof answers)[number]): number => state?.timeline ?? 0;
  const [latest] = leaders.sort((left, right) => timelineOf(right) - timelineOf(left));
  return latest?.instance;
}

async function awaitPrimary(database: DatabaseGroup): Promise<DatabaseInstanceHandle> {
  const until = Date.now() + PRIMARY_LIMIT_MS;
  while (Date.now() < until) {
    const primary = await currentPrimary(database);
    if (primary !== undefined) return primary;
    await delay(PRIMARY_POLL_MS);
  }
  throw new NoTargetError('the group has no primary');
}

/** Undefined if the instance is killed or paused. */
async function readState(
  database: DatabaseGroup,
  name: string,
): Promise<InstanceState | undefined> {
  const silent = delay(STATE_TIMEOUT_MS, undefined, { ref: false });
  return Promise.race([database.state(name).catch(() => undefined), silent]);
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
    const primary = await awaitPrimary(database);
    const replicas = database.instances.filter(({ name }) => name !== primary.name);
    picked.push({ database, replica: pick(replicas, random) });
  }
  return picked;
}

/** A proxy that no other fault has taken out of service. */
export function pickProxy({ cluster, random, recorder }: FaultContext): RunningProxy {
  return cluster.proxy(pick(recorder.servingProxies, random));
}

/** The group's primary fails from now on. */
export function failureOf(group: string): PrimaryFailure {
  return { group, at: nowMs() };
}
