/**
 * Many tenants share the connections of one instance. In any order of statements, each runs on a connection that was
 * opened for its tenant, the instance's limit is kept, and no statement waits forever.
 */
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../platform/line-wire.js';
import type { InstanceEntry } from '../../src/direct/contract.js';
import { InstancePool, ownRequest } from '../../src/direct/instance-pool.js';
import { pause } from '../../src/direct/within.js';
import { seededRandom } from '../support/random.js';

const LIMIT = 6;
const TENANTS = 20;
const OPERATIONS = 3000;
const CONCURRENCY = 24;
const TIMEOUT_MS = 20_000;
const POLICY = { queueWeight: 1, maxWaiting: 200, inFlightShare: 0.67, inFlightFloor: 2 };

/** An instance that answers each statement with the tenant for which the connection was opened. */
class AccountInstance {
  opened = 0;
  open = 0;
  maxOpen = 0;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => this.#accept(socket));

  async start(): Promise<InstanceEntry> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    const bound = this.#server.address();
    const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
    const address = { host: '127.0.0.1', port, zone: 'a', slots: 6 };
    return { id: 'i-1', service: 'orders', ...address, draining: false, role: 'primary' };
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket: Socket): void {
    this.opened += 1;
    this.open += 1;
    this.maxOpen = Math.max(this.maxOpen, this.open);
    this.#sockets.add(socket);
    let account = '';
    socket.on('error', () => {});
    socket.on('close', () => {
      this.open -= 1;
    });
    socket.on('data', (chunk) => {
      const [word, , second] = String(chunk).trim().split(' ');
      if (word === 'START') account = second ?? '';
      const row = word === 'START' ? '' : `ROW ${account}\r\nCOMPLETE x\r\n`;
      socket.write(`${row}READY I -\r\n`);
    });
  }
}

interface Play {
  readonly instance: AccountInstance;
  readonly pool: InstancePool;
  served: number;
}

async function startPlay(): Promise<Play> {
  const instance = new AccountInstance();
  const pool = new InstancePool(await instance.start(), LIMIT, {
    ...{ wire: lineWire, connectTimeoutMs: TIMEOUT_MS, reconnectDelayMs: 1, random: () => 0 },
    counters: {
      connectionsOpened: 0,
      connectFailures: 0,
      waitTimeouts: 0,
      queueRefusals: 0,
      turnRefusals: 0,
      untriedRefusals: 0,
    },
    now: () => performance.now(),
  });
  // Like an owner, which serves the callers of many nodes.
  pool.setLimit(LIMIT, LIMIT, 2, true);
  return { instance, pool, served: 0 };
}

function stopPlay({ instance, pool }: Play): void {
  pool.destroy();
  instance.stop();
}

/** Runs a statement of a tenant; returns the tenant for which the instance ran it. */
async function serve(play: Play, account: string, holdMs: number): Promise<string> {
  const acquired = await play.pool.acquire({
    ...{ tenant: account, account, priority: 1, policy: POLICY, values: new Map() },
    deadline: performance.now() + TIMEOUT_MS,
    cancelledBy: [],
  });
  const connection = acquired._unsafeUnwrap();
  const answer = (
    await connection.exchange(lineWire.encodeStatement('q', 'READ k', undefined))
  )._unsafeUnwrap();
  if (holdMs > 0) await pause(holdMs);
  play.pool.release(connection);
  play.served += 1;
  return answer.payload.split('\r\n')[0] ?? '';
}

test('each of thousands of concurrent statements runs on a connection of its tenant', async () => {
  const play = await startPlay();
  const random = seededRandom(20261203);
  let remaining = OPERATIONS;
  const work = async (): Promise<void> => {
    while (remaining > 0) {
      remaining -= 1;
      // A few tenants send most of the statements.
      const account = `tenant-${Math.floor(random() ** 3 * TENANTS)}`;
      if (random() < 0.02) {
        const own = (
          await play.pool.acquire(ownRequest(performance.now() + TIMEOUT_MS))
        )._unsafeUnwrap();
        play.pool.release(own);
      }
      assert.is(await serve(play, account, random() < 0.1 ? 1 : 0), `ROW ${account}`);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, work));
  assert.is(play.served, OPERATIONS);
  // A closed connection may be counted until the instance has read its end of stream.
  assert.ok(play.instance.maxOpen <= LIMIT + 2, `${play.instance.maxOpen} open`);
  assert.ok(play.instance.opened < OPERATIONS / 2, `${play.instance.opened} opened`);
  stopPlay(play);
});

test('a tenant with a flood of statements does not take the connection of an occasional tenant', async () => {
  const play = await startPlay();
  let isStopped = false;
  const flood = Array.from({ length: 40 }, async () => {
    while (!isStopped) await serve(play, 'flood', 2);
  });
  const waits: number[] = [];
  for (let number = 0; number < 30; number += 1) {
    const sentAt = performance.now();
    await serve(play, 'quiet', 0);
    waits.push(performance.now() - sentAt);
    await pause(3);
  }
  isStopped = true;
  await Promise.all(flood);
  // The flood closes the quiet tenant's connection only while that one has been idle longest.
  assert.ok(play.instance.opened < 30, `${play.instance.opened} opened`);
  stopPlay(play);
});

test('at the limit the connection that has been idle longest is closed, unless it is of the same tenant', async () => {
  const play = await startPlay();
  for (let number = 0; number < LIMIT; number += 1) await serve(play, `t${number}`, 0);
  assert.is(play.instance.opened, LIMIT);
  await serve(play, 't0', 0);
  assert.is(play.instance.opened, LIMIT);
  // t1 has been idle longest now.
  await serve(play, 'new', 0);
  assert.is(play.instance.opened, LIMIT + 1);
  await serve(play, 't0', 0);
  await serve(play, 't2', 0);
  assert.is(play.instance.opened, LIMIT + 1);
  await serve(play, 't1', 0);
  assert.is(play.instance.opened, LIMIT + 2);
  stopPlay(play);
});

test.run();
