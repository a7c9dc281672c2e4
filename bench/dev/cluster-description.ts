/** The first line of output of `npm run dev`: the addresses and credentials of the cluster. */
import { DEPLOYMENTS, type Deployment } from '../deployments.js';
import type { Cluster } from '../harness/cluster.js';
import { credentialsOf } from '../run/deployment-cluster.js';

/** Addresses are `host:port`. */
export interface ClusterDescription {
  readonly proxies: readonly { readonly pg: string; readonly admin: string }[];
  readonly instances: readonly InstanceDescription[];
  readonly store: string;
  readonly machines: string;
  /** Lists, begins and ends faults: GET /faults, POST and DELETE /faults/NAME. */
  readonly control: string;
  readonly tenants: readonly TenantDescription[];
}

interface InstanceDescription {
  readonly name: string;
  readonly group: string;
  /** Direct address, which bypasses the fault proxy. */
  readonly pg: string;
  /** The stand-in's own control port. */
  readonly control: string;
}

/** One entry per tenant and database that it may use. */
interface TenantDescription {
  readonly name: string;
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** Both deployments with only one group each, so that the cluster starts quickly. */
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
      pg: formatAddress(callers),
      admin: admin === undefined ? '' : formatAddress(admin),
    })),
    instances: [...cluster.groups].flatMap(([group, database]) =>
      database.instances.map(({ name, host, pgPort, controlPort }) => ({
        name,
        group,
        pg: formatAddress({ host, port: pgPort }),
        control: formatAddress({ host, port: controlPort }),
      })),
    ),
    store: formatAddress(cluster.store),
    machines: formatAddress(cluster.machines),
    control,
    tenants: deployments.flatMap((deployment) =>
      deployment.groups.map((group) => {
        const { user, password, database } = credentialsOf(deployment, group);
        return { name: deployment.tenant, user, password, database };
      }),
    ),
  };
}

function formatAddress({ host, port }: { readonly host: string; readonly port: number }): string {
  return `${host}:${port}`;
}
