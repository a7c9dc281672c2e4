/** Timeouts in a delayed process. */
import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { firstWithin } from '../../../src/direct/within.js';
import { computeFor } from '../../support/compute-for.js';

const WAIT_MS = 10;
const LATE_MS = 50;

let near: Socket;
let far: Socket;

test.before.each(async () => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  if (address === null || typeof address === 'string') throw new Error('no port');
  near = connect(address.port, '127.0.0.1');
  [far] = (await once(server, 'connection')) as [Socket];
  server.close();
});
test.after.each(() => {
  near.destroy();
  far.destroy();
});

test('a response that arrived in time and is read late by a delayed process is used', async () => {
  const answer = once(near, 'data').then(([chunk]) => String(chunk));
  const first = firstWithin([answer], WAIT_MS);
  far.write('done');
  computeFor(LATE_MS);
  assert.is(await first, 'done');
});

test('without a response in time the result is undefined', async () => {
  const answer = once(near, 'data');
  assert.is(await firstWithin([answer], WAIT_MS), undefined);
});

test.run();
