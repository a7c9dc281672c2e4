/** The first line of `npm run dev`: where everything of the cluster is to be found. */
import { DEPLOYMENTS, type Deployment } from '../deployments.js';
import type { Cluster } from '../harness/cluster.js';
import { credentialsOf } from '../run/deployment-cluster.js';

/** Addresses are `host:port`. */
export interface ClusterDescription {
  readonly proxies: readonly { readonly pg: string; readonly admin: string }[];
  readonly instances: readonly InstanceDescription[];
  readonly store: string;
  readonly machines: string;
  /** Starts and ends faults by name: GET /faults, POST and DELETE /faults/NAME. */
  readonly control: string;
  readonly tenants: readonly TenantDescription[];
}

interface InstanceDescription {
  readonly name: string;
  readonly group: string;
  /** Without the fault proxy. */
  readonly pg: string;
  /** The stand-in's own control port. */
  readonly control: string;
}

/** One entry for each database that a tenant may reach. */
interface TenantDescription {
  readonly name: string;
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** Both deployments, one group each: enough to work with, quick to start. */
export const SMALL_DEPLOYMENTS: readonly Deployment[] = Object.values(DEPLOYMENTS).map(
  (deployment) => ({ ...deployment, groups: deployment.groups.slice(0, 1) }),
);

export function describeCluster(
  cluster: Cluster,
  deployments: readonly Deployment[],
  control: string,
): ClusterDescription {
  return {
    proxies: [...cluster.proxies.values()].map(({ callers, admin }) => ({
      pg: addressOf(callers),
      admin: admin === undefined ? '' : addressOf(admin),
    })),
    instances: [...cluster.groups].flatMap(([group, database]) =>
      database.instances.map(({ name, host, pgPort, controlPort }) => ({
        name,
        group,
        pg: addressOf({ host, port: pgPort }),
        control: addressOf({ host, port: controlPort }),
      })),
    ),
    store: addressOf(cluster.store),
    machines: addressOf(cluster.machines),
    control,
    tenants: deployments.flatMap((deployment) =>
      deployment.groups.map((group) => {
        const { user, password, database } = credentialsOf(deployment, group);
        return { name: deployment.tenant, user, password, database };
      }),
    ),
  };
}

function addressOf({ host, port }: { readonly host: string; readonly port: number }): string {
  return `${host}:${port}`;
}
