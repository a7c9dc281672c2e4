/** The test client distinguishes unanswered requests that the server has read from those that it has not. */
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { listen } from '../../standins/common/process.js';
import { LineClient, LineConnectionLost, type LostAnswer } from '../support/line-client.js';

const HOST = '127.0.0.1';
let server: Server;

test.after.each(() => void server.close());

/** Ends the connection without an answer; the server reads, or leaves everything in the kernel. */
async function lostAt(reads: boolean): Promise<LostAnswer | undefined> {
  server = createServer({ pauseOnConnect: !reads });
  const port = await listen(server, HOST, 0);
  const accepted = once(server, 'connection');
  const client = await LineClient.connect(HOST, port, { detectsUnreadRequests: true });
  const [socket] = (await accepted) as [Socket];
  socket.on('error', () => undefined);
  const answer = client.query('s1', 'READ k').catch((error: unknown) => error);
  if (reads) await once(socket, 'data');
  else await nextTurn();
  socket.end(() => socket.destroy());
  const error = await answer;
  assert.instance(error, LineConnectionLost);
  return (error as LineConnectionLost).lost;
}

test('a request that the server read before the end of the connection counts as taken', async () => {
  assert.is((await lostAt(true))?.wasTaken, true);
});

test('a request that the server did not read does not count as taken', async () => {
  assert.is((await lostAt(false))?.wasTaken, false);
});

test('after the end of the connection nothing is sent, and no response is expected', async () => {
  server = createServer((socket) => socket.end());
  const port = await listen(server, HOST, 0);
  const client = await LineClient.connect(HOST, port, { detectsUnreadRequests: true });
  await client.closed;
  const error = await client.query('s1', 'READ k').catch((reason: unknown) => reason);
  assert.instance(error, LineConnectionLost);
  assert.is((error as LineConnectionLost).lost, undefined);
});

test.run();
