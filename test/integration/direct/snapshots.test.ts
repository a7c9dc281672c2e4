/** Gateways that start or restart without the store serve callers with snapshots from their peers. */
import { once } from 'node:events';
import { connect } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { encodeFrame, FrameType } from '../../../src/peer/frame.js';
import { DirectCluster, ROUTES, type TestRoute } from '../../support/direct-cluster.js';
import { DirectLoad, type LoadClient } from '../../support/direct-load.js';
import { LineClient } from '../../support/line-client.js';
import { until } from '../../support/until.js';

const HOST = '127.0.0.1';
const NEW_ROUTE: TestRoute = { database: 'archive', service: 'orders', routeType: 'primary' };
const SNAPSHOT_LINE = 'serving from a snapshot of a peer';

let cluster: DirectCluster;
let clients: DirectLoad;

async function start(cuttable = false): Promise<void> {
  cluster = await DirectCluster.start({ gateways: 2, cuttable });
  await cluster.waitForPeers();
  clients = new DirectLoad(cluster);
}

function load(database: string, gateway: number, seed: number): LoadClient {
  return clients.add({ database, gateway, seed });
}

test.after.each(() => clients.stop());

async function hasRoute(database: string, gateway: number): Promise<boolean> {
  const client = await LineClient.connect(HOST, cluster.gateway(gateway).callersPort);
  const { error } = await client.start(database, 'probe');
  client.close();
  return error === undefined;
}

for (const down of ['silent', 'unavailable'] as const) {
  test(`a gateway that restarts while the store is down serves (${down})`, async () => {
    await start();
    const steady = [load('intake', 0, 1), load('assign', 0, 2)];
    await Promise.all(steady.map((client) => client.waitForWrites(5)));
    await cluster.kill(1);
    await cluster.platform.stopStoreOutsideChanges({ down, leasesWait: false });
    const restarted = cluster.restart(1);
    await cluster.ready(restarted);
    assert.ok(restarted.output().includes(SNAPSHOT_LINE));
    const there = [load('intake', 1, 3), load('assign', 1, 4), load('lookup', 1, 5)];
    await Promise.all(there.slice(0, 2).map((client) => client.waitForWrites(5)));
    await cluster.platform.set('/store/faults', { down: 'no' });
    await cluster.publish([...ROUTES, NEW_ROUTE]);
    for (const gateway of [0, 1]) {
      await until('the new route', () => hasRoute('archive', gateway));
    }
    await Promise.all(there.slice(0, 2).map((client) => client.waitForWrites(5)));
    await clients.stopAndAssertNoViolations();
  });
}

test('an old snapshot reverts nothing, and a gateway that is cut off gets what is newer', async () => {
  await start(true);
  await cluster.setCutFromStore(0, true);
  await cluster.publish([...ROUTES, NEW_ROUTE]);
  await until('the new route', () => hasRoute('archive', 1));
  await cluster.setCutFromStore(1, true);
  await until('the new route, from the peer', () => hasRoute('archive', 0));
  // By now the gateway with the older directory has sent and received requests.
  assert.is(await hasRoute('archive', 1), true);
  await cluster.setCutFromStore(0, false);
  await cluster.setCutFromStore(1, false);
  await cluster.publish(ROUTES);
  for (const gateway of [0, 1]) {
    await until('no such route', async () => !(await hasRoute('archive', gateway)));
  }
  await clients.stopAndAssertNoViolations();
});

test('a gateway that serves from a snapshot follows a change of primary that it can not hear of', async () => {
  await start(true);
  const steady = load('intake', 0, 1);
  await steady.waitForWrites(5);
  await cluster.kill(1);
  await cluster.setCutFromStore(1, true);
  await cluster.ready(cluster.restart(1));
  const there = load('assign', 1, 2);
  await there.waitForWrites(5);
  await cluster.platform.set('/instances/i-orders-1/crash');
  await cluster.platform.waitForNewPrimary('orders', 'i-orders-1');
  await Promise.all([steady.waitForWrites(5), there.waitForWrites(5)]);
  await clients.stopAndAssertNoViolations();
});

test('a stranger and a malformed frame get nothing but the end of their own link', async () => {
  await start();
  // From here on no other gateway sends requests.
  await cluster.kill(1);
  const answered = await cluster.metric(0, 'snapshots_answered_total');
  const { peerPort } = cluster.gateway(0);
  const oversized = Buffer.alloc(11);
  oversized.writeUInt32BE(0xffff_ffff);
  oversized[4] = FrameType.HELLO;
  const frames = [
    oversized,
    Buffer.from('GET / HTTP/1.1\r\n\r\n'),
    encodeFrame(FrameType.HELLO, 0, Buffer.from('not a hello')),
    encodeFrame(FrameType.CALL, 1, Buffer.from('a call before the hello')),
  ];
  for (const frame of frames) {
    const socket = connect({ host: HOST, port: peerPort });
    const received: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => received.push(chunk));
    socket.on('error', () => {});
    socket.write(frame);
    await once(socket, 'close');
    assert.is(Buffer.concat(received).length, 0);
  }
  assert.is(await cluster.metric(0, 'peer_frames_malformed_total'), frames.length);
  assert.is(await cluster.metric(0, 'snapshots_answered_total'), answered);
  await cluster.platform.set('/store/faults', { down: 'silent', leasesWait: false });
  await cluster.ready(cluster.restart(1));
});

test.run();
