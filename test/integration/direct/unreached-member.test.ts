/**
 * Guards against the loss of acknowledged commits beside a departed member that is back where no gateway reaches it: its
 * primary counts it, the other replica receives nothing, and the primary crashes. The other replica must not be promoted
 * in place of the one that has the commits.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import { type LoadClient, startWriters } from '../../support/direct-load.js';
import { until } from '../../support/until.js';

const SERVICE = 'orders';
const PRIMARY = 'i-orders-1';
const BEHIND = 'i-orders-2';
const RETURNING = 'i-orders-3';
const MEMBER_FORGOTTEN_EVENT = '"event":"member forgotten"';
const COMMITS_MISSING_EVENT = '"event":"no candidate has the commits that replicas have received"';
const WRITES_BEHIND = 20;

let cluster: DirectCluster;
let clients: LoadClient[] = [];

test.before.each(async () => {
  cluster = await DirectCluster.start({ gateways: 3 });
  clients = startWriters(cluster);
  await Promise.all(clients.map((client) => client.waitForWrites(5)));
});

test.after.each(async () => {
  await Promise.allSettled(clients.map((client) => client.stop()));
  await cluster.stop();
});

async function untilLogged(event: string): Promise<void> {
  await until(event, () => cluster.gateways.some((gateway) => gateway.output().includes(event)));
}

async function setFaults(id: string, faults: Readonly<Record<string, boolean>>): Promise<void> {
  await cluster.platform.set(`/instances/${id}/faults`, faults);
}

async function logLengthOf(id: string): Promise<number> {
  const { received } = await cluster.platform.instance(id);
  return Number(received.split('.')[1]);
}

test('no acknowledged commit is lost when a departed member that no gateway reaches has it alone', async () => {
  await cluster.platform.set(`/instances/${RETURNING}/crash`);
  await untilLogged(MEMBER_FORGOTTEN_EVENT);
  await setFaults(RETURNING, { isSilentToStore: true, isDeafToControl: true });
  await cluster.platform.set(`/instances/${RETURNING}/return`);
  const logEnd = await logLengthOf(PRIMARY);
  await until('the member has the log', async () => (await logLengthOf(RETURNING)) >= logEnd);
  await setFaults(BEHIND, { isStalled: true });
  await Promise.all(clients.map((client) => client.waitForWrites(WRITES_BEHIND)));
  await cluster.platform.set(`/instances/${PRIMARY}/crash`);
  await untilLogged(COMMITS_MISSING_EVENT);
  await setFaults(RETURNING, { isSilentToStore: false, isDeafToControl: false });
  const { id } = await cluster.platform.waitForNewPrimary(SERVICE, PRIMARY);
  assert.is(id, RETURNING);
  await setFaults(BEHIND, { isStalled: false });
  await Promise.all(clients.map((client) => client.waitForWrites(5)));
  await Promise.all(clients.map((client) => client.stop()));
  assert.equal(await cluster.violations(), []);
});

test.run();
