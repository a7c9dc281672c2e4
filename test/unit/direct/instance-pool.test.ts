/** How many connections a pool opens, which waiting statements get them, and limits while the fleet size is unknown. */
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import type { AdmissionRules } from '../../../src/core/admission/instance-admission.js';
import { AnnouncedPrimaryView } from '../../../src/direct/announced-primary-view.js';
import type { InstanceEntry } from '../../../src/direct/contract.js';
import { InstanceQueueFullError } from '../../../src/direct/errors.js';
import type {
  InstanceConnection,
  SocketConnection,
} from '../../../src/direct/instance-connection.js';
import {
  type ConnectionRequest,
  InstancePool,
  ownRequest,
} from '../../../src/direct/instance-pool.js';
import { ServiceRuntime } from '../../../src/direct/service-runtime.js';
import { until } from '../../support/until.js';

const LONG_MS = 60_000;
const READY = 'READY I -\r\n';
const POOL_OPTIONS = {
  ...{ wire: lineWire, connectTimeoutMs: LONG_MS, reconnectDelayMs: 1, random: () => 0 },
  counters: {
    connectionsOpened: 0,
    connectFailures: 0,
    waitTimeouts: 0,
    queueRefusals: 0,
    turnRefusals: 0,
    untriedRefusals: 0,
  },
};

/** An instance that accepts connections either at once or only when the test lets it. */
class SlowInstance {
  takesAtOnce = false;
  readonly waiting: Socket[] = [];
  readonly #open = new Set<Socket>();
  readonly #server: Server = createServer((socket) => {
    this.#open.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      if (this.takesAtOnce) socket.write(READY);
      else this.waiting.push(socket);
    });
  });

  async start(): Promise<InstanceEntry> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    const address = this.#server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    const place = { host: '127.0.0.1', port, zone: 'a', slots: 3 };
    return { id: 'i-1', service: 'orders', ...place, draining: false, role: 'primary' };
  }

  /** Accepts all waiting connections and returns their number. */
  takeAll(): number {
    const taken = this.waiting.splice(0);
    for (const socket of taken) socket.write(READY);
    return taken.length;
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#open) socket.destroy();
  }
}

test('connections are opened one at first, then twice as many each time that the instance accepts them, however many statements wait', async () => {
  const instance = new SlowInstance();
  const pool = new InstancePool(await instance.start(), 20, {
    ...{ ...POOL_OPTIONS, now: () => performance.now() },
  });
  const acquired = Array.from({ length: 20 }, () =>
    pool.acquire(ownRequest(performance.now() + LONG_MS)),
  );
  const steps: number[] = [];
  let wanted = 1;
  while (steps.reduce((sum, step) => sum + step, 0) < 15) {
    const expected = wanted;
    await until(`${expected} openings`, () => instance.waiting.length === expected);
    steps.push(instance.takeAll());
    wanted = steps.reduce((sum, step) => sum + step, 0);
  }
  assert.equal(steps, [1, 1, 2, 4, 8]);
  await until('the other openings', () => instance.waiting.length === 4);
  instance.takeAll();
  assert.ok((await Promise.all(acquired)).every((result) => result.isOk()));
  pool.destroy();
  instance.stop();
});

/** An address where nothing listens: the operating system refuses every connection. */
async function unusedAddress(): Promise<InstanceEntry> {
  const instance = new SlowInstance();
  const entry = await instance.start();
  instance.stop();
  return entry;
}

function callerRequest(): ConnectionRequest {
  const { values, cancelledBy, priority } = ownRequest(0);
  const policy = { queueWeight: 1, maxWaiting: 100, inFlightShare: 1, inFlightFloor: 20 };
  const deadline = performance.now() + LONG_MS;
  return { tenant: 'orders', priority, policy, values, deadline, cancelledBy };
}

test('callers do not wait for an unresponsive instance, and it is used again once it responds', async () => {
  const entry = await unusedAddress();
  const pool = new InstancePool(entry, 2, { ...POOL_OPTIONS, now: () => performance.now() });
  const counters = POOL_OPTIONS.counters;
  assert.ok((await pool.acquire(callerRequest())).isErr());
  assert.ok(pool.isUnreachable);
  const failures = counters.connectFailures;
  const later = pool.acquire(callerRequest());
  assert.is(counters.connectFailures, failures, 'the caller opens nothing');
  assert.ok((await later).isErr());
  const server = createServer((socket) => socket.once('data', () => socket.write(READY)));
  server.listen(entry.port, entry.host);
  await until('the instance is reached again', () => !pool.isUnreachable);
  assert.ok((await pool.acquire(callerRequest())).isOk());
  pool.destroy();
  server.close();
});

const RULES = { targetDelayMs: 50, highestPriority: 0, lowestPriority: 2 };

/** A pool with this limit for an instance that accepts every connection. */
async function accountPool(limit: number, rules?: AdmissionRules) {
  const instance = new SlowInstance();
  const pool = new InstancePool(await instance.start(), limit, {
    ...{ ...POOL_OPTIONS, now: () => performance.now(), admissionRules: () => rules },
  });
  instance.takesAtOnce = true;
  const acquire = (account: string, more: Partial<ConnectionRequest> = {}) =>
    pool.acquire({ ...callerRequest(), tenant: account, account, ...more });
  return { instance, pool, acquire };
}

test('a statement that waits while every connection is in use replaces a connection that becomes idle', async () => {
  const { instance, pool, acquire } = await accountPool(1);
  const first = (await acquire('one'))._unsafeUnwrap();
  let isServed = false;
  const second = acquire('two').then((acquired) => {
    isServed = true;
    return acquired;
  });
  // Longer than the delay after which the pool opens connections beyond its soft limit.
  await new Promise((resolve) => setTimeout(resolve, 40));
  assert.not(isServed, 'the only connection is in use');
  pool.release(first);
  const connection = (await second)._unsafeUnwrap();
  assert.is((connection as SocketConnection).account, 'two');
  pool.destroy();
  instance.stop();
});

test('a statement of a public route replaces an idle connection of a tenant, and the reverse', async () => {
  const { instance, pool, acquire } = await accountPool(1);
  const order: (string | undefined)[] = [];
  for (const account of ['one', undefined, 'two', undefined]) {
    const connection = (await acquire(account ?? 'public', { account }))._unsafeUnwrap();
    order.push((connection as SocketConnection).account);
    pool.release(connection);
  }
  assert.equal(order, ['one', undefined, 'two', undefined]);
  assert.is(pool.size, 1);
  pool.destroy();
  instance.stop();
});

test('at the limit an idle connection is closed for a statement of a higher priority', async () => {
  for (const rules of [RULES, undefined]) {
    const { instance, pool, acquire } = await accountPool(1, rules);
    const first = (await acquire('one', { priority: 1 }))._unsafeUnwrap();
    const order: string[] = [];
    const take = async (account: string, priority: number): Promise<void> => {
      const connection = (await acquire(account, { priority }))._unsafeUnwrap();
      order.push(account);
      pool.release(connection);
    };
    const served = [take('one', 1), take('two', 0)];
    await until('both wait', () => pool.waiting === 2);
    pool.release(first);
    await Promise.all(served);
    assert.equal(order, rules === undefined ? ['one', 'two'] : ['two', 'one']);
    pool.destroy();
    instance.stop();
  }
});

test('at the concurrency limit waiting statements start by priority, and those of the highest priority start above the limit', async () => {
  const { instance, pool, acquire } = await accountPool(20, RULES);
  // One and a half times the three slots.
  const concurrencyLimit = 5;
  const running = await Promise.all(
    Array.from({ length: concurrencyLimit }, () => acquire('one', { priority: 2 })),
  );
  const order: string[] = [];
  const take = async (name: string, priority: number): Promise<void> => {
    const connection = (await acquire('one', { priority }))._unsafeUnwrap();
    order.push(name);
    pool.release(connection);
  };
  const served = [take('low', 2), take('middle', 1)];
  await until('both wait', () => pool.waiting === 2);
  await take('high', 0);
  assert.equal(order, ['high']);
  const [one] = running;
  pool.release(one?._unsafeUnwrap() as InstanceConnection);
  await Promise.all(served);
  assert.equal(order, ['high', 'middle', 'low']);
  pool.destroy();
  instance.stop();
});

test('with admission rules a statement that cannot start by its deadline is refused at once; without them it waits', async () => {
  for (const rules of [RULES, undefined]) {
    // One of the six connections is kept for other tenants.
    const { instance, pool, acquire } = await accountPool(6, rules);
    const running = await Promise.all(
      Array.from({ length: 5 }, () => acquire('one', { priority: 0 })),
    );
    const waiting = Array.from({ length: 80 }, (_, index) =>
      acquire('one', { priority: index < 75 ? 0 : 1 }),
    );
    await until('the statements wait', () => pool.waiting === 80);
    const late = acquire('one', { priority: 1, deadline: performance.now() + 500 });
    if (rules === undefined) {
      assert.is(pool.waiting, 81, 'it waits like the others');
    } else {
      assert.instance((await late)._unsafeUnwrapErr(), InstanceQueueFullError);
      assert.is(pool.waiting, 80);
    }
    pool.destroy();
    for (const one of running) pool.release(one._unsafeUnwrap());
    await Promise.all(waiting);
    instance.stop();
  }
});

test('while the size of the fleet is unknown a node opens only a few connections', () => {
  const service = new ServiceRuntime('orders', {
    ...{ zone: 'a', nodeCount: 8, isNodeCountKnown: false, drainTimeoutMs: 7000 },
    ownership: { roster: undefined, ownershipOf: () => undefined },
    view: new AnnouncedPrimaryView(),
    ...{
      registrationsHealthySince: () => 0,
      now: () => 0,
      pool: { ...POOL_OPTIONS, now: () => 0 },
    },
  });
  const place = { service: 'orders', host: '10.0.0.1', port: 80, zone: 'a', slots: 3 };
  service.setInstances([{ id: 'i-1', ...place, draining: false, role: 'replica' }]);
  const limit = (): number | undefined => service.members()[0]?.pool.limit;
  service.setMaxConnections(225);
  assert.is(limit(), 3);
  service.setNodeCount(8);
  assert.is(limit(), 27);
  service.setNodeCount(68);
  assert.is(limit(), 3);
});

test.run();
