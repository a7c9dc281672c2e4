/** A planned stop of a gateway that gets no processor time in the middle of it. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster } from '../../support/direct-cluster.js';
import { DirectLoad } from '../../support/direct-load.js';
import { isReady } from '../../support/direct-process.js';
import { until } from '../../support/until.js';

/** Longer than a stopping gateway lets its sessions be, so that their end is due when it runs again. */
const LATE_MS = 2500;
const ANSWERS: readonly (string | undefined)[] = [undefined, 'BUSY'];

let cluster: DirectCluster;
let clients: DirectLoad;

test.after.each(() => clients.stop());

test('what came while a stopping gateway was late is answered', async () => {
  cluster = await DirectCluster.start({ gateways: 2 });
  clients = new DirectLoad(cluster);
  const session = await cluster.open('intake', 0);
  await session.succeed(() => session.write('k', 'v'));
  const gateway = cluster.gateway(0);
  gateway.process.kill('SIGTERM');
  await until('it is not ready', async () => !(await isReady(gateway)));
  gateway.process.kill('SIGSTOP');
  const answer = session.write('k', 'w');
  await pause(LATE_MS);
  gateway.process.kill('SIGCONT');
  const { error, state } = await answer;
  assert.is(state, 'I');
  assert.ok(ANSWERS.includes(error?.code), `answered ${error?.code}`);
  assert.is(await gateway.ended, 0);
  await clients.stopAndAssertNoViolations();
});

test.run();
