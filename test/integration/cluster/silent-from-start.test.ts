/**
 * Proxies that are in the machine list but became silent before any other proxy heard from them. No
 * probe can find them dead, but they must not keep the relay slots that they would hold if alive.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type Cluster, tenantYaml } from '../../../bench/harness/cluster.js';
import { selectRelayCandidates } from '../../../src/core/configuration/relays.js';
import {
  GROUP,
  startSmallCluster,
  statusOf,
  TENANT,
  waitForRevision,
} from '../../support/cluster.js';

const NODES = ['proxy-1', 'proxy-2', 'proxy-3', 'proxy-4'];
const ZONE = 'a';
const PUBLISHED_CONNECTIONS = 700;

/** The two nodes that every node would select as relays if all were alive. */
const SILENT = selectRelayCandidates(
  ZONE,
  NODES.map((nodeId) => ({ nodeId, zone: ZONE, host: '', port: 0 })),
).map(({ nodeId }) => nodeId);
const OTHERS = NODES.filter((nodeId) => !SILENT.includes(nodeId));

const test = suite<{ cluster: Cluster }>('proxies silent from the start');

test.before(async (context) => {
  context.cluster = await startSmallCluster({ proxies: [] });
});

test.after(({ cluster }) => cluster.stop());

test('highest-ranked relays that no node ever heard from do not delay a configuration', async ({
  cluster,
}) => {
  for (const nodeId of SILENT) {
    await cluster.startProxy({ nodeId, zone: ZONE });
    cluster.proxy(nodeId).pause();
  }
  await Promise.all(OTHERS.map((nodeId) => cluster.startProxy({ nodeId, zone: ZONE })));
  const parameters = `  connections: ${PUBLISHED_CONNECTIONS}`;
  const tenant = { ...TENANT, databases: [GROUP], template: 'standard', parameters };
  const revision = await cluster.publishTexts([tenantYaml(tenant)]);
  for (const nodeId of OTHERS) {
    const { members } = await statusOf(cluster, nodeId);
    const heard = members.map((member) => member.nodeId);
    assert.not(
      heard.some((one) => SILENT.includes(one)),
      `${nodeId} heard from a silent node`,
    );
    await waitForRevision(cluster, revision, [nodeId]);
  }
});

test.run();
