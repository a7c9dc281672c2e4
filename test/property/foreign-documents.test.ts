/**
 * Arbitrary documents and messages from other processes: parsing never throws, nothing malformed is accepted, and
 * accepted values are within their limits.
 */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseConfiguration, parseInstance } from '../../platform/documents.js';
import { replaceKeysByDigests } from '../../platform/key-digests.js';
import { lineWire } from '../../platform/line-wire.js';
import { readItem, readPollResponse, readRangePage } from '../../platform/store-messages.js';
import {
  decodeRecord,
  parseFleetRecord,
  parseInstanceEntry,
  parseMembersRecord,
  parseNodeRecord,
  parsePrimaryRecord,
} from '../../src/core/promotion/records.js';
import { parsePartRequest, parsePermitGrant } from '../../src/direct/quota/messages.js';
import { parseRelayedRange, parseWatchRequest } from '../../src/direct/readers/messages.js';
import { parseLeaseEvent, parseStreamRequest } from '../../src/direct/relay/messages.js';
import { parseSnapshot, parseSnapshotRequest } from '../../src/direct/snapshots/messages.js';

const SEED = 20261203;
const RUNS = 1500;
const SETTINGS = { seed: SEED, numRuns: RUNS };

/** Field names of the platform's documents and of messages between nodes. */
const NAMES = [
  ...['version', 'routes', 'services', 'tenants', 'limits', 'name', 'api_keys', 'key_digests'],
  ...['rate_per_s', 'burst', 'hostname', 'route_type', 'timeout_ms', 'service', 'address', 'zone'],
  ...['slots', 'state', 'database_role', 'born', 'sequence', 'public', 'max_connections'],
  ...['type', 'events', 'after', 'revision', 'ageMs', 'clockMs', 'provenMs', 'part', 'tenant'],
  ...['node', 'needed', 'held', 'wanted', 'granted', 'retryAfterMs', 'nodes', 'keepers', 'owners'],
  ...['configuration', 'instances', 'primaries', 'terms', 'known', 'from', 'items', 'at_revision'],
];
const LEAVES = fc.oneof(
  ...[fc.string(), fc.double(), fc.integer(), fc.boolean(), fc.constant(null)],
  ...[
    fc.constantFrom(
      'ready',
      'draining',
      'primary',
      'replica',
      'put',
      'delete',
      '10.0.0.1:80',
      '10.0.0.1:0',
    ),
  ],
);
const { value: anything } = fc.letrec((tie) => ({
  value: fc.oneof(
    { depthSize: 'small', withCrossShrink: true },
    LEAVES,
    fc.array(tie('value'), { maxLength: 5 }),
    fc.dictionary(fc.constantFrom(...NAMES), tie('value'), { maxKeys: 8 }),
  ),
}));
const texts = fc.oneof(
  anything.map((value) => JSON.stringify(value) ?? ''),
  fc.string(),
  fc.string({ unit: 'binary' }),
);

/** Valid registrations with one field replaced or omitted. */
const damagedEntries = fc
  .record({
    field: fc.constantFrom('service', 'address', 'zone', 'slots', 'state', 'database_role', 'born'),
    value: fc.option(anything, { nil: undefined }),
  })
  .map(({ field, value }) => {
    const whole = { service: 'svc', address: '10.0.0.1:80', zone: 'a', slots: 3, state: 'ready' };
    return JSON.stringify({ ...whole, database_role: 'replica', born: 100, [field]: value });
  });

test('parsing a registration never throws, and an accepted one is complete', () => {
  fc.assert(
    fc.property(fc.oneof(texts, damagedEntries), (text) => {
      const parsed = parseInstance('servers/i-1', text);
      if (parsed.isErr()) return;
      const entry = parsed.value;
      assert.equal(parseInstanceEntry(JSON.parse(JSON.stringify(entry))), entry);
      assert.ok(Number.isSafeInteger(entry.slots) && entry.slots >= 0);
      assert.ok(entry.port > 0 && entry.port <= 65_535);
      const instances = { revision: 1, instances: [entry], departed: [] };
      assert.ok(parseSnapshot({ instances, terms: [], ageMs: 0 } as never).isOk(), 'by a peer');
      assert.ok(entry.id === 'i-1' || entry.lifeOf === 'i-1');
    }),
    SETTINGS,
  );
});

test('parsing a configuration never throws, and its tenants are complete', () => {
  fc.assert(
    fc.property(texts, (text) => {
      const parsed = parseConfiguration(replaceKeysByDigests(text));
      const tenants = parsed.isOk() ? (parsed.value.tenants ?? []) : [];
      for (const { name, keyDigests, quota } of tenants) {
        assert.match(name, /^[\x21-\x7e]+$/);
        assert.ok(keyDigests.every((digest) => typeof digest === 'string'));
        assert.ok(quota === undefined || (quota.ratePerSecond >= 0 && quota.burst >= 0));
      }
    }),
    SETTINGS,
  );
});

test('decoding a line of a caller or an instance never throws', () => {
  const words = fc.constantFrom('START', 'QUERY', 'READY', 'ROW', 'ERROR', 'COMPLETE', 'TERMINATE');
  fc.assert(
    fc.property(words, fc.string(), (word, rest) => {
      const line = `${word} ${rest}`;
      assert.ok(lineWire.decodeCallerMessage(line).type);
      assert.ok(lineWire.decodeInstanceMessage(line).type);
    }),
    SETTINGS,
  );
});

/** Parsers of messages from the store and peers. */
const PARSERS: Readonly<Record<string, (value: unknown) => unknown>> = {
  ...{
    readItem,
    readPollResponse,
    readRangePage,
    parsePartRequest,
    parsePermitGrant,
  },
  ...{
    parseRelayedRange,
    parseWatchRequest,
    parseLeaseEvent,
    parseStreamRequest,
  },
  ...{ parseSnapshotRequest, parseSnapshot, parseInstanceEntry },
};
const RECORD_PARSERS = [parseFleetRecord, parseMembersRecord, parseNodeRecord, parsePrimaryRecord];

test('parsing a message of the store or a peer, or a record, never throws', () => {
  fc.assert(
    fc.property(anything, (value) => {
      for (const parse of Object.values(PARSERS)) parse(value);
      const text = JSON.stringify(value) ?? '';
      const entry = { key: 'k', value: text, createRevision: 1, modRevision: 1 };
      for (const parse of RECORD_PARSERS) decodeRecord<unknown>(entry, parse);
    }),
    SETTINGS,
  );
});

test.run();
