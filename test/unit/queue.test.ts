import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DeadlineHeap } from '../../src/core/group/deadlines.js';
import { FairQueue, type QueueEntry } from '../../src/core/group/queue.js';
import type { GroupRequest } from '../../src/core/request.js';
import { request } from '../support/group-fixtures.js';

function entry(id: string, overrides: Partial<GroupRequest> = {}): QueueEntry {
  return {
    request: request(id, overrides),
    arrivedAt: 0,
    notBefore: 0,
    attempts: 0,
    mayHaveRun: false,
    avoid: undefined,
  };
}

/** Serves `count` entries and counts them by the label that `label` returns for each. */
function serve(queue: FairQueue, count: number, label: (one: QueueEntry) => string) {
  const served = new Map<string, number>();
  let left = count;
  queue.serve((offered) => {
    if (left === 0) return 'stop';
    left -= 1;
    served.set(label(offered), (served.get(label(offered)) ?? 0) + 1);
    return 'taken';
  });
  return Object.fromEntries(served);
}

function fill(queue: FairQueue, count: number, overrides: Partial<GroupRequest>): void {
  for (let index = 0; index < count; index += 1) {
    queue.push(entry(`${overrides.tenant}-${overrides.kind}-${index}`, overrides));
  }
}

test('tenants are served by weight, however much one of them queues', () => {
  const weights: Record<string, number> = { bureau: 2, trust: 1, flood: 1 };
  const queue = new FairQueue((tenant) => weights[tenant] ?? 1);
  fill(queue, 500, { tenant: 'flood', kind: 'default' });
  fill(queue, 50, { tenant: 'bureau', kind: 'default' });
  fill(queue, 50, { tenant: 'trust', kind: 'default' });
  const served = serve(queue, 40, (one) => one.request.tenant);
  assert.equal(served, { flood: 10, bureau: 20, trust: 10 });
});

test('within a tenant unlocks of weight two are served twice as often', () => {
  const queue = new FairQueue(() => 1);
  fill(queue, 60, { tenant: 'trust', kind: 'hire', weight: 1 });
  fill(queue, 60, { tenant: 'trust', kind: 'unlock', weight: 2 });
  assert.equal(
    serve(queue, 30, (one) => one.request.kind),
    { hire: 10, unlock: 20 },
  );
});

test('a tenant of small weight is served in proportion to its weight', () => {
  const queue = new FairQueue((tenant) => (tenant === 'small' ? 0.125 : 1));
  fill(queue, 30, { tenant: 'large', kind: 'default' });
  fill(queue, 2, { tenant: 'small', kind: 'default' });
  assert.equal(
    serve(queue, 22, (one) => one.request.tenant),
    { large: 20, small: 2 },
  );
});

test('a blocked entry is skipped and stays in the queue', () => {
  const queue = new FairQueue(() => 1);
  queue.push(entry('blocked'));
  queue.push(entry('free'));
  const taken: string[] = [];
  queue.serve((offered) => {
    if (offered.request.id === 'blocked') return 'blocked';
    taken.push(offered.request.id);
    return 'taken';
  });
  assert.equal(taken, ['free']);
  assert.is(queue.get('blocked')?.request.id, 'blocked');
  assert.is(queue.length, 1);
});

test('a tenant without waiting requests is served next when one arrives, but only once per round', () => {
  const queue = new FairQueue(() => 1);
  const tenantOf = (one: QueueEntry): string => one.request.tenant;
  fill(queue, 9, { tenant: 'flood', kind: 'default' });
  fill(queue, 9, { tenant: 'other', kind: 'default' });
  const [first] = Object.keys(serve(queue, 1, tenantOf));
  queue.push(entry('quiet-1', { tenant: 'quiet' }));
  assert.equal(serve(queue, 1, tenantOf), { quiet: 1 });
  queue.push(entry('quiet-2', { tenant: 'quiet' }));
  const second = first === 'flood' ? 'other' : 'flood';
  assert.equal(serve(queue, 1, tenantOf), { [second]: 1 });
  assert.equal(serve(queue, 1, tenantOf), { quiet: 1 });
});

test('the estimated number of requests ahead follows the fair share, not the length of the queue', () => {
  const queue = new FairQueue(() => 1);
  fill(queue, 100, { tenant: 'flood', kind: 'default' });
  assert.is(queue.estimateRequestsAhead('bureau'), 1);
  assert.is(queue.estimateRequestsAhead('flood'), 100);
});

test('deadlines are returned in order of time', () => {
  const heap = new DeadlineHeap();
  for (const at of [5, 3, 9, 1, 7]) heap.add({ at, requestId: `r${at}` });
  const due: number[] = [];
  for (let next = heap.takeDue(7); next !== undefined; next = heap.takeDue(7)) due.push(next.at);
  assert.equal(due, [1, 3, 5, 7]);
  assert.is(heap.earliest(), 9);
});

test.run();
