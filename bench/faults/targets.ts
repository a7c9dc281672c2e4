/** Selects the targets of faults; the seed determines the selection. */
import { setTimeout as delay } from 'node:timers/promises';
import { MeadowstackError } from '../../src/core/errors.js';
import type { InstanceState } from '../../standins/database/instance.js';
import type { DatabaseGroup, DatabaseInstanceHandle } from '../harness/database-group.js';
import type { RunningProxy } from '../harness/proxy-process.js';
import { nowMs } from '../load/clock.js';
import type { PrimaryFailure } from '../load/failover-gap.js';
import type { Random } from '../load/random.js';
import type { FaultContext } from './fault.js';

/** No target is available for the fault. */
export class NoTargetError extends MeadowstackError {
  readonly code = 'MS-BENCH-TARGET';
}

/** A group with its current primary. */
export interface PrimaryTarget {
  readonly group: string;
  readonly database: DatabaseGroup;
  readonly primary: DatabaseInstanceHandle;
}

const PRIMARY_TIMEOUT_MS = 3_000;
const PRIMARY_POLL_PERIOD_MS = 20;
const STATE_TIMEOUT_MS = 300;

/** @throws NoTargetError if there are no items. */
export function pick<Item>(items: readonly Item[], random: Random): Item {
  const item = items[random.integerBelow(items.length)];
  if (item === undefined) throw new NoTargetError('nothing to pick from');
  return item;
}

/** Selects a group and waits for its primary, which another fault may just have removed. */
export async function pickPrimary({
  cluster,
  deployment,
  random,
}: FaultContext): Promise<PrimaryTarget> {
  const group = pick(deployment.groups, random);
  const database = cluster.group(group);
  return { group, database, primary: await waitForPrimary(database) };
}

/** The primary on the latest timeline among the instances that respond; undefined if there is none. */
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

async function waitForPrimary(database: DatabaseGroup): Promise<DatabaseInstanceHandle> {
  const until = Date.now() + PRIMARY_TIMEOUT_MS;
  while (Date.now() < until) {
    const primary = await currentPrimary(database);
    if (primary !== undefined) return primary;
    await delay(PRIMARY_POLL_PERIOD_MS);
  }
  throw new NoTargetError('the group has no primary');
}

/** Undefined if the instance doesn't respond in time, such as when it is killed or paused. */
async function readState(
  database: DatabaseGroup,
  name: string,
): Promise<InstanceState | undefined> {
  const timeout = delay(STATE_TIMEOUT_MS, undefined, { ref: false });
  return Promise.race([database.state(name).catch(() => undefined), timeout]);
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
    const primary = await waitForPrimary(database);
    const replicas = database.instances.filter(({ name }) => name !== primary.name);
    picked.push({ database, replica: pick(replicas, random) });
  }
  return picked;
}

/** Selects a proxy that no other fault has stopped or paused. */
export function pickProxy({ cluster, random, recorder }: FaultContext): RunningProxy {
  return cluster.proxy(pick(recorder.servingProxies, random));
}

/** Records that the group's primary fails now. */
export function createPrimaryFailure(group: string): PrimaryFailure {
  return { group, at: nowMs() };
}
