/**
 * Connections of one instance among many tenants: whatever comes in whatever order, a statement goes only over a
 * connection that was opened for its tenant, the instance never has more than its limit, and nobody waits for ever.
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
const AT_ONCE = 24;
const PATIENCE_MS = 20_000;
const POLICY = { queueWeight: 1, maxWaiting: 200, inFlightShare: 0.67, inFlightFloor: 2 };

/** Answers each statement with the tenant that its connection was opened for. */
class TellingInstance {
  opened = 0;
  open = 0;
  mostOpen = 0;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => this.#accept(socket));

  async start(): Promise<InstanceEntry> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    const address = this.#server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    const place = { host: '127.0.0.1', port, zone: 'a', slots: 6 };
    return { id: 'i-1', service: 'orders', ...place, draining: false, role: 'primary' };
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket: Socket): void {
    this.opened += 1;
    this.open += 1;
    this.mostOpen = Math.max(this.mostOpen, this.open);
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
  readonly instance: TellingInstance;
  readonly pool: InstancePool;
  served: number;
}

async function startPlay(): Promise<Play> {
  const instance = new TellingInstance();
  const pool = new InstancePool(await instance.start(), LIMIT, {
    ...{ wire: lineWire, connectTimeoutMs: PATIENCE_MS, reconnectDelayMs: 1, random: () => 0 },
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
  // As an owner, which serves the callers of many nodes.
  pool.setLimit(LIMIT, LIMIT, 2, true);
  return { instance, pool, served: 0 };
}

function stopPlay({ instance, pool }: Play): void {
  pool.destroy();
  instance.stop();
}

/** One statement of a tenant; gives who the instance took it for. */
async function serve(play: Play, account: string, holdMs: number): Promise<string> {
  const acquired = await play.pool.acquire({
    ...{ tenant: account, account, priority: 1, policy: POLICY, values: new Map() },
    deadline: performance.now() + PATIENCE_MS,
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

test('a statement goes only over a connection of its tenant, in thousands of interleavings', async () => {
  const play = await startPlay();
  const random = seededRandom(20261203);
  let left = OPERATIONS;
  const work = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      // A few tenants ask most of the time.
      const account = `tenant-${Math.floor(random() ** 3 * TENANTS)}`;
      if (random() < 0.02) {
        const own = (
          await play.pool.acquire(ownRequest(performance.now() + PATIENCE_MS))
        )._unsafeUnwrap();
        play.pool.release(own);
      }
      assert.is(await serve(play, account, random() < 0.1 ? 1 : 0), `ROW ${account}`);
    }
  };
  await Promise.all(Array.from({ length: AT_ONCE }, work));
  assert.is(play.served, OPERATIONS);
  // A connection that gave way may be counted until the instance has read its end.
  assert.ok(play.instance.mostOpen <= LIMIT + 2, `${play.instance.mostOpen} open`);
  assert.ok(play.instance.opened < OPERATIONS / 2, `${play.instance.opened} opened`);
  stopPlay(play);
});

test('a tenant that floods takes no more than its share from one that asks now and then', async () => {
  const play = await startPlay();
  let isOver = false;
  const flood = Array.from({ length: 40 }, async () => {
    while (!isOver) await serve(play, 'flood', 2);
  });
  const waits: number[] = [];
  for (let number = 0; number < 30; number += 1) {
    const askedAt = performance.now();
    await serve(play, 'quiet', 0);
    waits.push(performance.now() - askedAt);
    await pause(3);
  }
  isOver = true;
  await Promise.all(flood);
  // Its connection stays: the flood has closed it for a connection of its own only while it rested longest.
  assert.ok(play.instance.opened < 30, `${play.instance.opened} opened`);
  stopPlay(play);
});

test('at the limit the connection that has rested longest gives way, and none of the same tenant', async () => {
  const play = await startPlay();
  for (let number = 0; number < LIMIT; number += 1) await serve(play, `t${number}`, 0);
  assert.is(play.instance.opened, LIMIT);
  await serve(play, 't0', 0);
  assert.is(play.instance.opened, LIMIT);
  // t1 has rested longest now.
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
