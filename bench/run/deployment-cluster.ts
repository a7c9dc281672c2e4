/**
 * The cluster of one or more deployments with the brief's sizes: groups, zones, delays, templates,
 * tenants, proxies spread over the zones, and databases with their tables and first rows.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { InstanceState } from '../../standins/database/instance.js';
import type { Deployment } from '../deployments.js';
import {
  BACKEND_PASSWORD,
  Cluster,
  ClusterError,
  type ClusterGroup,
  type ClusterOptions,
  type ClusterProxy,
  type ClusterTenant,
} from '../harness/cluster.js';
import type { DatabaseGroup } from '../harness/database-group.js';
import type { Credentials } from '../load/caller-session.js';
import { prepareDatabase } from '../load/database-setup.js';

export interface DeploymentClusterOptions {
  readonly deployments: readonly Deployment[];
  readonly proxies: number;
  readonly seed: number;
  /** Service time of one statement on an instance. */
  readonly statementMs: number;
  /** Silence after which a group elects a new primary. */
  readonly electionTimeoutMs: number;
  /** Delays of the deployments' places; false for the shortest ways that there are. */
  readonly delays: boolean;
  readonly proxyFlags?: readonly string[];
  /** Told of each part that is up. */
  readonly onStep?: (step: string) => void;
}

/** The role that all tenants of a deployment have on its back ends. */
export const DATABASE_ROLE = 'app';

const PREPARE_ATTEMPTS = 5;
const POLL_MS = 10;

/** Starts it all; resolves when callers are served and every replica has the tables. */
export async function startDeploymentCluster(options: DeploymentClusterOptions): Promise<Cluster> {
  const cluster = await Cluster.start(clusterOptionsOf(options));
  try {
    await Promise.all(
      options.deployments.flatMap((deployment) =>
        deployment.groups.map(async (name) => {
          await prepareGroup(cluster.group(name), deployment);
          options.onStep?.(`group ${name} has its tables`);
        }),
      ),
    );
    return cluster;
  } catch (error) {
    await cluster.stop();
    throw error;
  }
}

/** What callers of a deployment log in with. */
export function credentialsOf(deployment: Deployment, group: string): Credentials {
  return { user: deployment.tenant, password: passwordOf(deployment), database: group };
}

export function tenantOf(deployment: Deployment): ClusterTenant {
  return {
    name: deployment.tenant,
    password: passwordOf(deployment),
    databases: deployment.groups,
    template: deployment.name,
  };
}

/** The template of a deployment; `connections` is what its tenants can set. */
export function templateYaml(deployment: Deployment): string {
  return [
    'kind: Template',
    `name: ${deployment.name}`,
    'parameters:',
    `  databases: { type: databases, groups: [${deployment.groups.join(', ')}] }`,
    '  connections: { type: integer, default: 2000, minimum: 1, maximum: 10000 }',
    'policy:',
    `  databaseRole: ${DATABASE_ROLE}`,
    '  databases: { parameter: databases }',
    '  maxConnections: { parameter: connections }',
    '  maxInFlight: 1000',
    '  maxQueued: 1000',
    `  maxBackendConnections: ${deployment.connectionsPerInstance * deployment.instancesPerGroup}`,
    '  queueWeight: 1',
    '  requestsPerSecond: 100000',
    '  burst: 10000',
    '  requestKinds:',
    ...deployment.kinds.map(
      (kind) =>
        `    ${kind.kind}: { stalenessBoundMs: ${kind.stalenessBoundMs}, ` +
        `repeatable: ${kind.repeatable}, weight: ${kind.weight}, deadlineMs: ${kind.deadlineMs} }`,
    ),
    '',
  ].join('\n');
}

function clusterOptionsOf(options: DeploymentClusterOptions): ClusterOptions {
  const { deployments, delays, onStep } = options;
  const zoneDelayMs = Math.max(...deployments.map((deployment) => deployment.zoneDelayMs));
  const callerLatencyMs = Math.max(...deployments.map((deployment) => deployment.clientDelayMs));
  return {
    groups: deployments.flatMap((deployment) =>
      deployment.groups.map((_, index) => groupOptions(options, deployment, index)),
    ),
    proxies: proxiesOf(options),
    templates: deployments.map(templateYaml).join('---\n'),
    tenants: deployments.map(tenantOf),
    proxyFlags: options.proxyFlags ?? [],
    ...(onStep === undefined ? {} : { onStep }),
    ...(delays ? { instanceLatencyMs: zoneDelayMs, callerLatencyMs } : {}),
  };
}

/** Instances of a group stand in zones of their own; the groups start in different ones. */
function groupOptions(
  { seed, statementMs, electionTimeoutMs }: DeploymentClusterOptions,
  deployment: Deployment,
  index: number,
): ClusterGroup {
  const { zones } = deployment;
  const zoneAt = (offset: number): string => zones[(index + offset) % zones.length] ?? '';
  return {
    group: deployment.groups[index] ?? '',
    zones: Array.from({ length: deployment.instancesPerGroup }, (_, offset) => zoneAt(offset)),
    slots: deployment.slotsPerInstance,
    maxConnections: deployment.connectionsPerInstance,
    connectionDelayMs: deployment.connectionOpenMs,
    statementMs,
    electionTimeoutMs,
    seed: seed + index * deployment.instancesPerGroup,
  };
}

function proxiesOf({ deployments, proxies }: DeploymentClusterOptions): ClusterProxy[] {
  const zones = [...new Set(deployments.flatMap((deployment) => deployment.zones))];
  return Array.from({ length: proxies }, (_, index) => ({
    nodeId: `proxy-${index + 1}`,
    zone: zones[index % zones.length] ?? '',
  }));
}

function passwordOf(deployment: Deployment): string {
  return `${deployment.tenant}-password`;
}

/** The group may elect another primary meanwhile, on a busy machine, which may lack rows: then it is done again. */
async function prepareGroup(group: DatabaseGroup, deployment: Deployment): Promise<void> {
  const credentials = { user: DATABASE_ROLE, password: BACKEND_PASSWORD, database: 'postgres' };
  let cause: unknown;
  for (let attempt = 0; attempt < PREPARE_ATTEMPTS; attempt += 1) {
    const { name, host, pgPort: port } = await group.waitForPrimary();
    const { timeline } = await group.state(name);
    try {
      await prepareDatabase({ host, port }, credentials, deployment);
      if (await haveAllReplayed(group, timeline)) return;
    } catch (error) {
      cause = error;
    }
  }
  throw new ClusterError('the tables of a group could not be made', { cause });
}

/** Waits until every replica has what the primary of this timeline has; false if a later one has begun. */
async function haveAllReplayed(group: DatabaseGroup, timeline: number): Promise<boolean> {
  for (;;) {
    const states = await Promise.all(group.instances.map(({ name }) => group.state(name)));
    if (states.some((state) => state.timeline > timeline)) return false;
    const wanted = states.find(({ role }) => role === 'primary')?.lsn;
    const hasIt = (state: InstanceState): boolean =>
      state.timeline === timeline && state.replayed === wanted;
    if (states.every(hasIt)) return true;
    await delay(POLL_MS);
  }
}
