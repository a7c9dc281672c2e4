/** A poll that the store or the path has swallowed is found before its bound has passed. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { CONFIGURATION_KEY, INSTANCE_KEY_PREFIX } from '../../../platform/documents.js';
import { WATCH_SLACK_MS, watchWaitMs } from '../../../platform/watch-waits.js';

/** From when on a machine counts again after a disturbance of its path or of the store. */
const CONTACT_MS = 4000;
const DRAIN_MS = 7000;
/** For a second poll that is lost too, at half the wait, and its answer. */
const SPARE_MS = 1500;

test('a configuration is known once a machine counts again, though two polls were swallowed', () => {
  const firstMs = watchWaitMs(CONFIGURATION_KEY) + WATCH_SLACK_MS;
  assert.ok(firstMs + SPARE_MS <= CONTACT_MS);
});

test('a leaving instance is known of within the time that it may still be used', () => {
  const firstMs = watchWaitMs(INSTANCE_KEY_PREFIX) + WATCH_SLACK_MS;
  assert.ok(firstMs + SPARE_MS <= DRAIN_MS);
});

test.run();
