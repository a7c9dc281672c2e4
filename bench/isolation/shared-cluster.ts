/** A cluster of two proxies and one database group, which two tenants of one template share. */
import pg from 'pg';
import { BACKEND_PASSWORD, Cluster, type ClusterTenant } from '../harness/cluster.js';

export const GROUP = 'shared';
export const DATABASE_ROLE = 'app';
/** Number of rows of the table that the load reads and updates. */
export const ROW_COUNT = 1000;

export const QUIET_TENANT = createTenant('quiet');
export const NOISY_TENANT = createTenant('noisy');

/** The tenants' limits are high, so that only the fair queue, slots and connections isolate the tenants. */
const TEMPLATE = `kind: Template
name: shared
parameters:
  databases: { type: databases }
policy:
  databaseRole: ${DATABASE_ROLE}
  databases: { parameter: databases }
  maxConnections: 400
  maxInFlight: 400
  maxQueued: 400
  maxBackendConnections: 12
  queueWeight: 1
  requestsPerSecond: 100000
  burst: 10000
  requestKinds:
    lookup: { stalenessBoundMs: 1000 }
`;

export interface SharedClusterOptions {
  readonly seed: number;
  readonly statementMs: number;
  readonly slots: number;
  /** Time without messages from its primary after which the group elects; long to prevent elections on a busy machine. */
  readonly electionTimeoutMs: number;
}

export async function startSharedCluster(options: SharedClusterOptions): Promise<Cluster> {
  const cluster = await Cluster.start({
    groups: [
      {
        group: GROUP,
        zones: ['a', 'b', 'c'],
        maxConnections: 35,
        connectionDelayMs: 10,
        ...options,
      },
    ],
    proxies: [
      { nodeId: 'proxy-1', zone: 'a' },
      { nodeId: 'proxy-2', zone: 'b' },
    ],
    templates: TEMPLATE,
    tenants: [QUIET_TENANT, NOISY_TENANT],
  });
  try {
    await createTable(cluster);
    return cluster;
  } catch (error) {
    await cluster.stop();
    throw error;
  }
}

async function createTable(cluster: Cluster): Promise<void> {
  const { host, pgPort: port } = await cluster.group(GROUP).waitForPrimary();
  const client = new pg.Client({
    ...{ host, port, user: DATABASE_ROLE, password: BACKEND_PASSWORD, database: 'postgres' },
  });
  await client.connect();
  await client.query('CREATE TABLE items (id int PRIMARY KEY, version int)');
  const rows = Array.from({ length: ROW_COUNT }, (_, id) => `(${id}, 1)`);
  await client.query(`INSERT INTO items VALUES ${rows.join(', ')}`);
  await client.end();
}

function createTenant(name: string): ClusterTenant {
  return { name, password: `${name} password`, databases: [GROUP], template: 'shared' };
}
