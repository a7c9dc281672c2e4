/** The compared targets, started as a small cluster of real processes. */
import { z } from 'zod';
import { connectBackend } from '../../src/postgres/backend/connect.js';
import type { BackendConnectOptions } from '../../src/postgres/backend/options.js';
import { startChild } from '../harness/child-process.js';
import { Cluster } from '../harness/cluster.js';
import type { NetworkAddress } from './address.js';
import { LoadError, POINT_ROW_COUNT, POINT_TABLE } from './point-load.js';

/** One path to the database. */
export interface OverheadTarget {
  /** `direct`, `pass-through`, or a proxy's node id. */
  readonly name: string;
  readonly connect: BackendConnectOptions;
  /** Processes between client and database, whose processor time is counted. */
  readonly pids: readonly number[];
}

export interface OverheadTargets {
  readonly targets: readonly OverheadTarget[];
  stop(): Promise<void>;
}

export const CONNECT_TIMEOUT_MS = 10_000;
const GROUP = 'points';
const DATABASE_PASSWORD = 'backend-password';
const DATABASE_ROLE = 'app';
const TENANT = { name: 'overhead', password: 'a long password' };
const ROWS_PER_INSERT = 100;
const TEMPLATE = `kind: Template
name: overhead
parameters:
  databases: { type: databases }
policy:
  databaseRole: ${DATABASE_ROLE}
  databases: { parameter: databases }
  maxConnections: 600
  maxInFlight: 1000
  maxQueued: 1000
  maxBackendConnections: 30
  queueWeight: 1
  requestsPerSecond: 1000000
  burst: 100000
  requestKinds: {}
`;
const addressSchema = z.object({ host: z.string(), port: z.number().int() });

/**
 * Starts a database group, a pass-through in front of its primary, and two proxies. Each proxy is a
 * target: the owner of the group adds one hop, the other proxy adds two.
 */
export async function startTargets(slots: number): Promise<OverheadTargets> {
  const cluster = await Cluster.start({
    groups: [{ group: GROUP, zones: ['a', 'b', 'c'], slots, maxConnections: 100 }],
    proxies: [
      { nodeId: 'proxy-1', zone: 'a' },
      { nodeId: 'proxy-2', zone: 'b' },
    ],
    templates: TEMPLATE,
    bypassesFaultProxy: true,
    tenants: [{ ...TENANT, databases: [GROUP], template: 'overhead' }],
  });
  const primary = await cluster.group(GROUP).waitForPrimary();
  const direct = toConnectOptions({ host: primary.host, port: primary.pgPort });
  await createPointTable(direct);
  const target = `--target=${primary.host}:${primary.pgPort}`;
  const passThrough = await startChild('bench/overhead/pass-through.js', [target], addressSchema);
  const proxies = [...cluster.proxies.values()];
  const targets: OverheadTarget[] = [
    { name: 'direct', connect: direct, pids: [] },
    {
      name: 'pass-through',
      connect: toConnectOptions(passThrough.announcement),
      pids: [passThrough.pid],
    },
    ...proxies.map(({ nodeId, callers }) => ({
      name: nodeId,
      connect: { ...toConnectOptions(callers), user: TENANT.name, password: TENANT.password },
      pids: proxies.map((proxy) => proxy.pid),
    })),
  ];
  const stop = async (): Promise<void> => {
    await passThrough.stop();
    await cluster.stop();
  };
  return { targets, stop };
}

function toConnectOptions({ host, port }: NetworkAddress): BackendConnectOptions {
  return {
    host,
    port,
    user: DATABASE_ROLE,
    database: GROUP,
    password: DATABASE_PASSWORD,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  };
}

/** Creates and fills the table for the point reads, which must not exist yet. */
export async function createPointTable(options: BackendConnectOptions): Promise<void> {
  const connectResult = await connectBackend(options);
  if (connectResult.isErr()) throw new LoadError(connectResult.error.message);
  const connection = connectResult.value;
  const statements = [`CREATE TABLE ${POINT_TABLE} (id int PRIMARY KEY, value text)`];
  for (let first = 0; first < POINT_ROW_COUNT; first += ROWS_PER_INSERT) {
    const rows = Array.from({ length: ROWS_PER_INSERT }, (_, row) => `(${first + row}, 'value')`);
    statements.push(`INSERT INTO ${POINT_TABLE} (id, value) VALUES ${rows.join(', ')}`);
  }
  for (const statement of statements) {
    const result = await connection.query(statement);
    if (result.isErr()) throw new LoadError(result.error.message);
  }
  connection.close();
}
