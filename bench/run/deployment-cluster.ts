/**
 * Starts the cluster of one or more deployments: groups, zones, delays, templates, tenants, proxies
 * spread over the zones, and databases with their tables and initial rows.
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
  PROCESS_SECRET,
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
  /** Time without messages from its primary after which a group elects a new one. */
  readonly electionTimeoutMs: number;
  /** True to add the network delays of the deployments; false for none. */
  readonly hasNetworkDelays: boolean;
  readonly proxyFlags?: readonly string[];
  /** Called with a description of each part that has started. */
  readonly onStep?: (step: string) => void;
}

/** The database role that all tenants of a deployment use on its back ends. */
export const DATABASE_ROLE = 'app';

const PREPARE_ATTEMPTS = 5;
const POLL_PERIOD_MS = 10;

/** Starts the cluster; resolves when callers are served and every replica has the tables. */
export async function startDeploymentCluster(options: DeploymentClusterOptions): Promise<Cluster> {
  const cluster = await Cluster.start(toClusterOptions(options));
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

/** Credentials of a deployment's callers for the database of a group. */
export function credentialsOf(deployment: Deployment, group: string): Credentials {
  return { user: deployment.tenant, password: passwordOf(deployment), database: group };
}

export function toClusterTenant(deployment: Deployment): ClusterTenant {
  return {
    name: deployment.tenant,
    password: passwordOf(deployment),
    databases: deployment.groups,
    template: deployment.name,
  };
}

/** The template of a deployment; its tenants can set the parameter `connections`. */
export function formatTemplateYaml(deployment: Deployment): string {
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

function toClusterOptions(options: DeploymentClusterOptions): ClusterOptions {
  const { deployments, hasNetworkDelays, onStep } = options;
  const zoneDelayMs = Math.max(...deployments.map((deployment) => deployment.zoneDelayMs));
  const callerLatencyMs = Math.max(...deployments.map((deployment) => deployment.callerDelayMs));
  return {
    groups: deployments.flatMap((deployment) =>
      deployment.groups.map((_, index) => toClusterGroup(options, deployment, index)),
    ),
    proxies: toClusterProxies(options),
    templates: deployments.map(formatTemplateYaml).join('---\n'),
    tenants: deployments.map(toClusterTenant),
    proxyFlags: options.proxyFlags ?? [],
    ...(onStep === undefined ? {} : { onStep }),
    ...(hasNetworkDelays ? { instanceLatencyMs: zoneDelayMs, callerLatencyMs } : {}),
  };
}

/** Places the instances of a group in different zones; each group begins with another zone. */
function toClusterGroup(
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

function toClusterProxies({ deployments, proxies }: DeploymentClusterOptions): ClusterProxy[] {
  const zones = [...new Set(deployments.flatMap((deployment) => deployment.zones))];
  return Array.from({ length: proxies }, (_, index) => ({
    nodeId: `proxy-${index + 1}`,
    zone: zones[index % zones.length] ?? '',
  }));
}

function passwordOf(deployment: Deployment): string {
  return `${deployment.tenant}-${PROCESS_SECRET}`;
}

/**
 * Creates the tables and rows of a group. On a busy machine the group may elect a new primary during
 * this, which may lack rows; the preparation is then repeated.
 */
async function prepareGroup(group: DatabaseGroup, deployment: Deployment): Promise<void> {
  const credentials = { user: DATABASE_ROLE, password: BACKEND_PASSWORD, database: 'postgres' };
  let cause: unknown;
  for (let attempt = 0; attempt < PREPARE_ATTEMPTS; attempt += 1) {
    const { name, host, pgPort: port } = await group.waitForPrimary();
    const { timeline } = await group.state(name);
    try {
      await prepareDatabase({ host, port }, credentials, deployment);
      if (await waitUntilAllReplayed(group, timeline)) return;
    } catch (error) {
      cause = error;
    }
  }
  throw new ClusterError('the tables of a group could not be created', { cause });
}

/** Waits until every replica has replayed the log of this timeline's primary; false if a later timeline has begun. */
async function waitUntilAllReplayed(group: DatabaseGroup, timeline: number): Promise<boolean> {
  for (;;) {
    const states = await Promise.all(group.instances.map(({ name }) => group.state(name)));
    if (states.some((state) => state.timeline > timeline)) return false;
    const primaryLsn = states.find(({ role }) => role === 'primary')?.lsn;
    const hasReplayed = (state: InstanceState): boolean =>
      state.timeline === timeline && state.replayed === primaryLsn;
    if (states.every(hasReplayed)) return true;
    await delay(POLL_PERIOD_MS);
  }
}
