/** Runs a fault of a primary under load, from warm-up to the collected history. */
import type { Cluster } from '../../bench/harness/cluster.js';
import type { DatabaseGroup, DatabaseInstanceHandle } from '../../bench/harness/database-group.js';
import type { History } from '../../bench/history/model.js';
import {
  LOADED_GROUP,
  type LoadProgress,
  loadUnderFault,
  waitForNoOpenTransactions,
} from './loaded-cluster.js';

const PART_MS = 2_000;
const WARM_UP_WRITES = 20;
/** Number of writes that must succeed after a fault before the run ends. */
export const WRITES_AFTER = 20;

/** The cluster, and the primary that the fault affects. */
export interface Target {
  readonly cluster: Cluster;
  readonly group: DatabaseGroup;
  readonly primary: DatabaseInstanceHandle;
  readonly progress: LoadProgress;
}

export interface Scenario {
  readonly name: string;
  readonly seed: number;
  readonly killedProxies?: readonly string[];
  fault(target: Target): Promise<void>;
}

/** Runs a scenario, after which the cluster has recovered. */
export async function runScenario(cluster: Cluster, scenario: Scenario): Promise<History> {
  const { seed } = scenario;
  const group = cluster.group(LOADED_GROUP);
  const history = await loadUnderFault({
    cluster,
    seed,
    partMs: PART_MS,
    fault: async (progress) => {
      await progress.waitForWrites(WARM_UP_WRITES);
      const primary = await group.waitForPrimary();
      await scenario.fault({ cluster, group, primary, progress });
    },
  });
  await waitForNoOpenTransactions(group);
  return history;
}

/** Timeline of the primary's successor. */
export async function nextTimelineOf({ group, primary }: Target): Promise<number> {
  const { timeline } = await group.state(primary.name);
  return timeline + 1;
}

/** Queries only the other instances, since a paused one does not respond. */
export async function waitForOtherPrimary(
  group: DatabaseGroup,
  exceptName: string,
  timeline: number,
): Promise<DatabaseInstanceHandle> {
  const others = group.instances.filter(({ name }) => name !== exceptName);
  return Promise.any(
    others.map(async (instance) => {
      await group.waitForState(instance.name, (state) => {
        return state.role === 'primary' && state.timeline >= timeline;
      });
      return instance;
    }),
  );
}
