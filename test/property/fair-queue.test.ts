/** A tenant that floods a queue waits behind its own requests and doesn't delay others. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FairQueue, type QueuedRequest } from '../../src/core/statements/fair-queue.js';

const SEED = 20261202;
const RUNS = 300;
const CONNECTIONS = 4;

interface NumberedRequest extends QueuedRequest {
  readonly number: number;
}

function request(
  tenant: string,
  number: number,
  priority = 1,
  bounds: Partial<NumberedRequest> = {},
): NumberedRequest {
  return { tenant, number, priority, weight: 1, maxWaiting: 100, ...bounds };
}

test('behind a flood of one tenant, another tenant gets the next free connection', () => {
  fc.assert(
    fc.property(fc.integer({ min: 5, max: 60 }), (flood) => {
      const queue = new FairQueue<NumberedRequest>();
      for (let number = 0; number < flood; number += 1) queue.push(request('flood', number));
      queue.push(request('quiet', 0));
      const held = new Map([['flood', CONNECTIONS - 1]]);
      assert.is(queue.takeNext(held)?.tenant, 'quiet');
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('while all have requests waiting, no tenant holds two more connections than another', () => {
  fc.assert(
    fc.property(fc.array(fc.constantFrom('a', 'b', 'c'), { maxLength: 60 }), (arrivals) => {
      const queue = new FairQueue<NumberedRequest>();
      const waiting = new Map<string, number>();
      for (const [number, tenant] of arrivals.entries()) {
        queue.push(request(tenant, number));
        waiting.set(tenant, (waiting.get(tenant) ?? 0) + 1);
      }
      const held = new Map<string, number>();
      for (let next = queue.takeNext(held); next !== undefined; next = queue.takeNext(held)) {
        held.set(next.tenant, (held.get(next.tenant) ?? 0) + 1);
        waiting.set(next.tenant, (waiting.get(next.tenant) ?? 1) - 1);
        for (const [tenant, left] of waiting) {
          if (left === 0) continue;
          assert.ok((held.get(next.tenant) ?? 0) - (held.get(tenant) ?? 0) <= 1);
        }
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('while all have requests waiting, tenants hold connections by their weights', () => {
  const weights = fc.record({
    a: fc.integer({ min: 1, max: 5 }),
    b: fc.integer({ min: 1, max: 5 }),
  });
  fc.assert(
    fc.property(weights, fc.integer({ min: 1, max: 40 }), ({ a, b }, served) => {
      const queue = new FairQueue<NumberedRequest>();
      for (let number = 0; number < served; number += 1) {
        queue.push(request('a', number, 1, { weight: a }));
        queue.push(request('b', number, 1, { weight: b }));
      }
      const held = new Map<string, number>();
      for (let count = 0; count < served; count += 1) {
        const next = queue.takeNext(held);
        if (next !== undefined) held.set(next.tenant, (held.get(next.tenant) ?? 0) + 1);
      }
      // By weight, no tenant is ahead of another by more than its last connection.
      const heldByA = held.get('a') ?? 0;
      const heldByB = held.get('b') ?? 0;
      assert.ok((heldByA - 1) * b <= heldByB * a && (heldByB - 1) * a <= heldByA * b);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('a tenant that may hold no more connections is skipped, whatever its priority', () => {
  const queue = new FairQueue<NumberedRequest>();
  queue.push(request('flood', 1, 0));
  queue.push(request('quiet', 2, 5));
  const isQuiet = (tenant: string): boolean => tenant === 'quiet';
  assert.is(queue.takeNext(new Map(), isQuiet)?.number, 2);
  assert.is(queue.takeNext(new Map(), isQuiet), undefined);
  assert.is(queue.takeNext(new Map())?.number, 1);
});

test('a higher priority goes first, and equal ones go in order of arrival', () => {
  const queue = new FairQueue<NumberedRequest>();
  queue.push(request('a', 1, 2));
  queue.push(request('a', 2, 2));
  queue.push(request('b', 3, 1));
  const order = [1, 2, 3].map(() => queue.takeNext(new Map())?.number);
  assert.equal(order, [3, 1, 2]);
  assert.is(queue.takeNext(new Map()), undefined);
});

test('the waiting requests of a tenant are bounded, and removed ones are not taken', () => {
  const queue = new FairQueue<NumberedRequest>();
  const bounds = { maxWaiting: 2 };
  const first = request('a', 1, 1, bounds);
  assert.ok(queue.push(first));
  assert.ok(queue.push(request('a', 2, 1, bounds)));
  assert.not(queue.push(request('a', 3, 1, bounds)));
  assert.ok(queue.push(request('b', 4, 1, bounds)));
  assert.equal(
    [...queue.waitingByTenant],
    [
      ['a', 2],
      ['b', 1],
    ],
  );
  assert.ok(queue.remove(first));
  assert.not(queue.remove(first));
  assert.equal(
    queue.takeAll().map(({ number }) => number),
    [2, 4],
  );
  assert.is(queue.length, 0);
  assert.is(queue.waitingByTenant.size, 0);
});

test.run();
