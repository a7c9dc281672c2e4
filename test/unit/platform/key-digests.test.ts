/** API keys of callers must not leave the folder that decodes the platform's messages. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { digestOfKey, replaceKeysByDigests } from '../../../platform/key-digests.js';
import { lineWire } from '../../../platform/line-wire.js';
import { readItem, readPollResponse, readRangePage } from '../../../platform/store-messages.js';

const KEY = 'k3y-of-a-stranger';
const CONFIGURATION = JSON.stringify({
  version: 3,
  tenants: [{ name: 'a', api_keys: [KEY, 7], rate_per_s: 3 }, { name: 'b' }, 'c'],
});

function item(key: string, text: string): object {
  const value = Buffer.from(text).toString('base64');
  return { private_key: key, value, revision: 4, created: 2, lease_id: 0 };
}

test('keys in a configuration are replaced by digests, and everything else stays', () => {
  const sealed = JSON.parse(replaceKeysByDigests(CONFIGURATION));
  assert.equal(sealed, {
    version: 3,
    tenants: [
      { name: 'a', key_digests: [digestOfKey(KEY), null], rate_per_s: 3 },
      { name: 'b' },
      null,
    ],
  });
});

test('a text that is not a JSON object may contain keys, and is dropped', () => {
  assert.is(replaceKeysByDigests(CONFIGURATION.slice(0, -1)), '');
  assert.is(replaceKeysByDigests(`["${KEY}"]`), '');
});

test('a configuration without tenants is forwarded unchanged', () => {
  const text = '{ "version": 3 }';
  assert.is(replaceKeysByDigests(text), text);
});

test('no response of the store contains a key, whichever call it answers', () => {
  const config = item('op/config', CONFIGURATION);
  const answers = [
    readItem(config),
    readRangePage({ items: [config], has_more: false, at_revision: 9 }),
    readPollResponse({ events: [config], at_revision: 9 }),
  ];
  for (const answer of answers) {
    assert.ok(answer);
    assert.not.match(JSON.stringify(answer), KEY);
    assert.match(JSON.stringify(answer), digestOfKey(KEY));
  }
});

test('the first message of a caller is decoded with the digest of its key', () => {
  const message = lineWire.decodeCallerMessage(`START orders ${KEY}`);
  assert.equal(message, { type: 'start', database: 'orders', keyDigest: digestOfKey(KEY) });
});

test('digests of different keys differ, and all have the format of a digest', () => {
  const digests = ['', 'a', 'b', KEY].map(digestOfKey);
  assert.is(new Set(digests).size, digests.length);
  for (const digest of digests) assert.match(digest, /^[\w-]{22}$/);
});

test.run();
