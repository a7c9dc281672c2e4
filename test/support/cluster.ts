/** Small clusters of real processes for integration tests, and callers that keep their session token. */
import pg from 'pg';
import * as assert from 'uvu/assert';
import { Cluster, type ClusterOptions, PROCESS_SECRET } from '../../bench/harness/cluster.js';
import type { NodeStatus } from '../../src/node/node-status.js';
import { until, WAIT_TIMEOUT_MS } from './until.js';

export const GROUP = 'orders';
export const TENANT = { name: 'bureau', password: `bureau-${PROCESS_SECRET}` };

const ELECTION_TIMEOUT_MS = 1500;

/** `lookup` accepts stale reads; all other requests read from the primary. */
export const TEMPLATE = `kind: Template
name: standard
parameters:
  databases: { type: databases }
  connections: { type: integer, default: 600, minimum: 1, maximum: 5000 }
policy:
  databaseRole: app
  databases: { parameter: databases }
  maxConnections: { parameter: connections }
  maxInFlight: 1000
  maxQueued: 1000
  maxBackendConnections: 20
  queueWeight: 1
  requestsPerSecond: 100000
  burst: 10000
  requestKinds:
    lookup: { stalenessBoundMs: 1000 }
`;

/**
 * For tests that pause no proxy. A busy test machine may stall one for a second, and its links must not count as
 * lost then.
 */
export const LONG_HEARTBEAT_FLAG = '--peer-heartbeat-ms=5000';

/** The same for probes of instances: after two missed probes, reads that run there are aborted. */
export const LONG_PROBE_TIMEOUT_FLAG = '--probe-timeout-ms=5000';

const SMALL_GROUP = {
  group: GROUP,
  zones: ['a', 'b', 'c'],
  slots: 5,
  maxConnections: 35,
  connectionDelayMs: 10,
  // Far above the heartbeat delays of a busy test machine, so that only tests cause elections.
  electionTimeoutMs: ELECTION_TIMEOUT_MS,
};

/** The same group with a timeout so long that a busy machine causes no election. */
export const GROUPS_WITHOUT_ELECTIONS = [{ ...SMALL_GROUP, electionTimeoutMs: 60_000 }];

/** One group of three instances in three zones, and two proxies. */
export function startSmallCluster(options: Partial<ClusterOptions> = {}): Promise<Cluster> {
  return Cluster.start({
    groups: [SMALL_GROUP],
    proxies: [
      { nodeId: 'proxy-1', zone: 'a' },
      { nodeId: 'proxy-2', zone: 'b' },
    ],
    templates: TEMPLATE,
    tenants: [{ ...TENANT, databases: [GROUP], template: 'standard' }],
    ...options,
  });
}

/** A caller's connection and the last session token that it received. */
export interface TestCaller {
  readonly client: pg.Client;
  sessionToken(): string;
}

const SESSION_PARAMETER = 'meadowstack.session';

/** `options`: settings of the start-up message, such as `meadowstack.session`. */
export async function connectCaller(
  cluster: Cluster,
  nodeId: string,
  options: Readonly<Record<string, string>> = {},
): Promise<TestCaller> {
  const { host, port } = cluster.proxy(nodeId).callers;
  const client = new pg.Client({
    host,
    port,
    user: TENANT.name,
    password: TENANT.password,
    database: GROUP,
    options: Object.entries(options)
      .map(([name, value]) => `-c ${name}=${value}`)
      .join(' '),
  });
  let token = '';
  const { connection } = client as unknown as { connection: NodeJS.EventEmitter };
  connection.on('parameterStatus', (status: { parameterName: string; parameterValue: string }) => {
    if (status.parameterName === SESSION_PARAMETER) token = status.parameterValue;
  });
  client.on('error', () => undefined);
  await client.connect();
  return { client, sessionToken: () => token };
}

/** Status of a proxy from its admin port; rejects if the proxy does not respond, for instance when paused. */
export async function statusOf(cluster: Cluster, nodeId: string): Promise<NodeStatus> {
  const { admin } = cluster.proxy(nodeId);
  assert.ok(admin, 'no admin port');
  const signal = AbortSignal.timeout(WAIT_TIMEOUT_MS);
  const response = await fetch(`http://${admin.host}:${admin.port}/status`, { signal });
  return (await response.json()) as NodeStatus;
}

/** Resolves once all these proxies have applied the revision. */
export async function waitForRevision(
  cluster: Cluster,
  revision: number,
  nodeIds: Iterable<string> = cluster.proxies.keys(),
): Promise<void> {
  for (const nodeId of nodeIds) {
    await until(`${nodeId} has revision ${revision}`, async () => {
      return (await statusOf(cluster, nodeId)).configuration.revision >= revision;
    });
  }
}

/** Resolves once each of these proxies sees all others as alive. */
export async function waitForMembership(
  cluster: Cluster,
  nodeIds: readonly string[],
): Promise<void> {
  for (const nodeId of nodeIds) {
    await until(`${nodeId} has heard from the others`, async () => {
      const { members } = await statusOf(cluster, nodeId);
      const alive = members.filter(({ status }) => status === 'alive').map((one) => one.nodeId);
      return nodeIds.every((other) => other === nodeId || alive.includes(other));
    });
  }
}

/** Waits for a single owner of the group; returns it and the first other node. */
export async function waitForSoleOwner(
  cluster: Cluster,
): Promise<{ owner: string; gateway: string }> {
  let owners: string[] = [];
  const nodeIds = [...cluster.proxies.keys()];
  await until('one owner', async () => {
    const statuses = await Promise.all(nodeIds.map((nodeId) => statusOf(cluster, nodeId)));
    const owning = statuses.filter(({ groups }) => groups.some(({ group }) => group === GROUP));
    owners = owning.map(({ nodeId }) => nodeId);
    return owners.length === 1 && statuses.every(({ members }) => areAllAlive(members, nodeIds));
  });
  const gateway = nodeIds.find((nodeId) => !owners.includes(nodeId));
  assert.ok(owners[0] !== undefined && gateway !== undefined);
  return { owner: owners[0], gateway };
}

function areAllAlive(members: NodeStatus['members'], nodeIds: readonly string[]): boolean {
  const alive = members.filter(({ status }) => status === 'alive');
  return alive.length >= nodeIds.length - 1;
}
