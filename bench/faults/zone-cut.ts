/**
 * A whole zone is unreachable: its instances are cut off from their peers and all proxies, its
 * proxies from callers. Links between proxies work, since they don't pass through the fault proxy.
 */
import type { Cluster } from '../harness/cluster.js';
import type { DatabaseGroup, DatabaseInstanceHandle } from '../harness/database-group.js';
import type { PrimaryFailure } from '../load/failover-gap.js';
import type { Fault } from './fault.js';
import { createPrimaryFailure, currentPrimary, pick } from './targets.js';

interface ZoneInstance {
  readonly group: string;
  readonly database: DatabaseGroup;
  readonly instance: DatabaseInstanceHandle;
}

export const ZONE_CUT: Fault = {
  name: 'zone-cut',
  summary: 'the instances of a zone are cut from all, its proxies from callers',
  durationMs: 3_000,
  begin: async ({ cluster, deployment, random, recorder }) => {
    const zone = pick(deployment.zones, random);
    const instances = instancesOf(cluster, zone);
    const proxies = [...cluster.proxies.values()].filter((proxy) => proxy.zone === zone);
    const primaryFailures = await findPrimaryFailures(instances);
    const setCut = async (cut: boolean): Promise<void> => {
      await Promise.all([
        ...instances.map((one) => cutInstance(cluster, one, cut)),
        ...proxies.map(({ nodeId }) => cutCallers(cluster, nodeId, cut)),
      ]);
    };
    for (const { nodeId } of proxies) recorder.recordProxyStop(nodeId);
    await setCut(true);
    return {
      target: zone,
      primaryFailures,
      end: async () => {
        await setCut(false);
        for (const { nodeId } of proxies) recorder.recordProxyStart(nodeId);
      },
    };
  },
};

function instancesOf(cluster: Cluster, zone: string): ZoneInstance[] {
  return [...cluster.groups].flatMap(([group, database]) =>
    database.instances
      .filter((instance) => instance.zone === zone)
      .map((instance) => ({ group, database, instance })),
  );
}

async function findPrimaryFailures(instances: readonly ZoneInstance[]): Promise<PrimaryFailure[]> {
  const failures = await Promise.all(
    instances.map(async ({ group, database, instance }) => {
      const primary = await currentPrimary(database);
      return primary?.name === instance.name ? [createPrimaryFailure(group)] : [];
    }),
  );
  return failures.flat();
}

async function cutInstance(
  cluster: Cluster,
  { database, instance }: ZoneInstance,
  cut: boolean,
): Promise<void> {
  await Promise.all([
    cluster.faults.setFaults(instance.name, { up: { cut }, down: { cut } }),
    // A killed instance has no control port.
    database.isolate(instance.name, cut).catch(() => undefined),
  ]);
}

async function cutCallers(cluster: Cluster, nodeId: string, cut: boolean): Promise<void> {
  await cluster.callerFaults?.setFaults(nodeId, { up: { cut }, down: { cut } });
}
