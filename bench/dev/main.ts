/**
 * `npm run dev`: a cluster with the tenants of both deployments, which runs until SIGINT or SIGTERM. The
 * first line on standard output is JSON with all addresses; messages for people go to standard error.
 */
import { startDeploymentCluster } from '../run/deployment-cluster.js';
import { describeCluster, SMALL_DEPLOYMENTS } from './cluster-description.js';
import { ControlServer } from './control-server.js';

const CLUSTER_OPTIONS = {
  deployments: SMALL_DEPLOYMENTS,
  proxies: 2,
  seed: 1,
  statementMs: 0,
  electionTimeoutMs: 300,
  hasNetworkDelays: false,
  onStep: (step: string): void => void process.stderr.write(`${step}\n`),
} as const;

const cluster = await startDeploymentCluster(CLUSTER_OPTIONS);
const control = new ControlServer(cluster, SMALL_DEPLOYMENTS);
const description = describeCluster(cluster, SMALL_DEPLOYMENTS, await control.listen());
process.stdout.write(`${JSON.stringify(description)}\n`);
writeHints();

const stopped = new Promise<void>((resolve) => {
  process.once('SIGINT', () => resolve());
  process.once('SIGTERM', () => resolve());
});
await stopped;
control.close();
await cluster.stop();

function writeHints(): void {
  const [tenant] = description.tenants;
  const [proxy] = description.proxies;
  if (tenant === undefined || proxy === undefined) return;
  const { user, password, database } = tenant;
  const lines = [
    `psql 'postgresql://${user}:${password}@${proxy.pg}/${database}'`,
    `curl http://${description.control}/faults`,
    `curl -X POST 'http://${description.control}/faults/primary-killed?deployment=trust'`,
    'Ctrl-C stops the cluster.',
  ];
  process.stderr.write(`${lines.join('\n')}\n`);
}
