/** Rate at which a fleet starts statements at an instance that refuses them because all its slots are busy. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { BusyPace } from '../../src/core/statements/busy-pace.js';

const SLOTS = 3;
/** Number of statements that may wait for a slot; the instance refuses further ones. */
const QUEUE = 3;
const WORK_MS = 14;
const CAPACITY_PER_SECOND = (SLOTS * 1000) / WORK_MS;

/** Simulates nodes that always have a statement to send, and one instance that refuses statements while its queue is full. */
function simulate(nodeCount: number, isPaced: boolean, seconds: number) {
  const nodes = Array.from({ length: nodeCount }, (_, index) => ({
    pace: new BusyPace(),
    /** Without pacing, each node starts a statement every 15 ms. */
    retryAt: index % 15,
  }));
  const slots = new Array<number>(SLOTS).fill(0);
  const counts = { served: 0, refused: 0 };
  for (let now = 0; now < seconds * 1000; now += 1) {
    for (const node of nodes) {
      if (now < node.retryAt || (isPaced && !node.pace.mayStart(now))) continue;
      node.pace.recordStart(now);
      node.retryAt = now + 15;
      const slot = slots.indexOf(Math.min(...slots));
      const waitMs = Math.max(0, (slots[slot] ?? 0) - now);
      if (waitMs < (WORK_MS * QUEUE) / SLOTS) {
        slots[slot] = now + waitMs + WORK_MS;
        counts.served += 1;
        node.pace.recordServed();
      } else {
        counts.refused += 1;
        node.pace.recordBusy(now, nodeCount);
      }
    }
  }
  return counts;
}

test('a paced fleet has few refusals and uses most of the capacity of the instance', () => {
  const unpaced = simulate(68, false, 20);
  assert.ok(unpaced.refused > 15 * unpaced.served, JSON.stringify(unpaced));
  const paced = simulate(68, true, 20);
  assert.ok(paced.refused < 0.6 * paced.served, JSON.stringify(paced));
  assert.ok(paced.served > 0.85 * 20 * CAPACITY_PER_SECOND, JSON.stringify(paced));
});

test('refusals of concurrent statements count once, and responses end the pause', () => {
  const pace = new BusyPace();
  assert.ok(pace.mayStart(0));
  for (let count = 0; count < 5; count += 1) pace.recordBusy(100, 68);
  assert.is(pace.intervalMs, 20);
  pace.recordStart(100);
  assert.not(pace.mayStart(119));
  assert.ok(pace.mayStart(120));
  pace.recordBusy(121, 68);
  assert.is(pace.intervalMs, 40);
  for (let count = 0; count < 10; count += 1) pace.recordServed();
  assert.is(pace.intervalMs, 0);
});

test('an instance that refuses regardless of its load gets a hundred starts per second from the fleet', () => {
  const pace = new BusyPace();
  for (let now = 0; now < 20_000; now += 1000) pace.recordBusy(now, 6);
  assert.is(pace.intervalMs, 60);
});

test.run();
