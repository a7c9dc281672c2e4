/** A gateway gets no processor time for a while during its graceful shutdown. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import { DirectLoad } from '../../support/direct-load.js';
import { isReady } from '../../support/direct-process.js';
import { until } from '../../support/until.js';

/** Longer than a stopping gateway keeps its sessions open, so that their end is due when it resumes. */
const PAUSE_MS = 2500;
const EXPECTED_CODES: readonly (string | undefined)[] = [undefined, 'BUSY'];

let cluster: DirectCluster;
let clients: DirectLoad;

test.after.each(() => clients.stop());

test('a request sent while a stopping gateway is paused is answered', async () => {
  cluster = await DirectCluster.start({ gateways: 2 });
  clients = new DirectLoad(cluster);
  const session = await cluster.open('intake', 0);
  await session.succeed(() => session.write('k', 'v'));
  const gateway = cluster.gateway(0);
  gateway.process.kill('SIGTERM');
  await until('the gateway is not ready', async () => !(await isReady(gateway)));
  gateway.process.kill('SIGSTOP');
  const response = session.write('k', 'w');
  await pause(PAUSE_MS);
  gateway.process.kill('SIGCONT');
  const { error, state } = await response;
  assert.is(state, 'I');
  assert.ok(EXPECTED_CODES.includes(error?.code), `answered ${error?.code}`);
  assert.is(await gateway.ended, 0);
  await clients.stopAndAssertNoViolations();
});

test.run();
