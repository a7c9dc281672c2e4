import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { Prober } from '../../src/core/failover/prober.js';

function proberOf(name: string): Prober {
  const prober = new Prober({ timeoutMs: 100 });
  prober.setInstances([name]);
  return prober;
}

test('an instance gets one probe at a time, and none before its period has passed', () => {
  const prober = proberOf('a');
  assert.ok(prober.isDue('a', 20, 0));
  const probe = prober.send('a', 1, 0);
  assert.not.ok(prober.isDue('a', 20, 50));
  prober.settle(probe.id);
  assert.not.ok(prober.isDue('a', 60, 50));
  assert.ok(prober.isDue('a', 20, 50));
  assert.is(prober.nextDueAt('a', 60), 60);
});

test('a probe that timed out does not block the next one, and its late response still counts', () => {
  const prober = proberOf('a');
  const hung = prober.send('a', 1, 0);
  assert.equal(prober.takeTimedOut(99), []);
  assert.equal(prober.takeTimedOut(100), [hung]);
  assert.ok(prober.isDue('a', 20, 100));
  const next = prober.send('a', 2, 100);
  assert.equal(prober.settle(hung.id), { probe: hung, late: true });
  assert.not.ok(prober.isDue('a', 20, 130), 'the next one is still in flight');
  assert.equal(prober.settle(next.id), { probe: next, late: false });
  assert.is(prober.settle(next.id), undefined);
});

test('a probe that times out while this process is stalled gets a short extension, once', () => {
  const prober = proberOf('a');
  const probe = prober.send('a', 1, 0);
  assert.equal(prober.takeTimedOut(400), [], 'noticed 300 ms late: the response may be unread');
  assert.is(prober.nextDueAt('a', 20), 420);
  assert.equal(prober.takeTimedOut(500), [probe], 'late again: timed out');
});

test.run();
