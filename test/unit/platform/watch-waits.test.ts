/** A poll lost by the store or the network is detected before the time limit that depends on it. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CONFIGURATION_KEY, INSTANCE_KEY_PREFIX } from '../../../platform/documents.js';
import { WATCH_SLACK_MS, type WatchBounds, watchWaitMs } from '../../../platform/watch-waits.js';

/** Time after the end of a failure, of the store or the path to it, from which a machine must be up to date. */
const CONTACT_MS = 4000;
const DRAIN_MS = 7000;
/** Left for a second poll, at half the wait, that is lost too, and for the response to the next. */
const SPARE_MS = 1500;
const BOUNDS: WatchBounds = { contactTimeoutMs: CONTACT_MS, drainTimeoutMs: DRAIN_MS };

test('a configuration is known within the contact timeout, although two polls were lost', () => {
  const firstMs = watchWaitMs(CONFIGURATION_KEY, BOUNDS) + WATCH_SLACK_MS;
  assert.ok(firstMs + SPARE_MS <= CONTACT_MS);
});

test('a leaving instance is detected within the drain timeout, although two polls were lost', () => {
  const firstMs = watchWaitMs(INSTANCE_KEY_PREFIX, BOUNDS) + WATCH_SLACK_MS;
  assert.ok(firstMs + SPARE_MS <= DRAIN_MS);
});

test('poll waits scale with the time limits of the deployment', () => {
  for (const factor of [0.5, 1.25, 2]) {
    const bounds = { contactTimeoutMs: CONTACT_MS * factor, drainTimeoutMs: DRAIN_MS * factor };
    for (const [prefix, boundMs] of [
      [CONFIGURATION_KEY, bounds.contactTimeoutMs],
      [INSTANCE_KEY_PREFIX, bounds.drainTimeoutMs],
    ] as const) {
      const firstMs = watchWaitMs(prefix, bounds) + WATCH_SLACK_MS;
      assert.ok(firstMs < boundMs, `${prefix} at ${factor}`);
      assert.ok(firstMs >= boundMs * 0.4, `${prefix} at ${factor}: each poll has a cost`);
    }
  }
});

test.run();
