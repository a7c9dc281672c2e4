/** In any order of snapshots the newest parts are applied and no version decreases; malformed ones are rejected. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type DirectoryVersions,
  NO_VERSIONS,
  selectNewerParts,
  versionsAfter,
} from '../../src/core/directory/snapshot.js';
import {
  type InstanceSnapshot,
  parseSnapshot,
  parseSnapshotRequest,
} from '../../src/direct/snapshots/messages.js';
import { PeerList } from '../../src/direct/snapshots/peer-list.js';
import { decodeValue, encodeValue } from '../../src/peer/codec.js';

const SETTINGS = { seed: 20261202, numRuns: 500 };
const MAX_BYTES = 1 << 20;

/** Records with the ordinary prototype, like those that the codec decodes. */
const PLAIN = { noNullPrototype: true } as const;

const version = fc.integer({ min: 0, max: 6 });
const name = fc.constantFrom('a', 'b', 'c');
const instance = fc.record(
  {
    ...{ id: name, service: name, host: fc.constant('10.0.0.1'), zone: name },
    port: fc.integer({ min: 1, max: 65_535 }),
    slots: fc.integer({ min: 0, max: 9 }),
    draining: fc.boolean(),
    role: fc.constantFrom('primary' as const, 'replica' as const),
  },
  PLAIN,
);
const instances = fc.array(instance, { maxLength: 3 });
const absent = { nil: undefined };
const configuration = fc.record({ version: version, text: fc.string() }, PLAIN);
const instancesPart = fc.record({ revision: version, instances, departed: instances }, PLAIN);
const primary = fc.record({ service: name, instanceId: name }, PLAIN);
const primaries = fc.array(primary, { maxLength: 3 });
const primariesPart = fc.record({ revision: version, primaries }, PLAIN);
const term = fc.record({ service: name, instanceId: name, term: version }, PLAIN);
const snapshot: fc.Arbitrary<InstanceSnapshot> = fc.record(
  {
    configuration: fc.option(configuration, absent),
    instances: fc.option(instancesPart, absent),
    primaries: fc.option(primariesPart, absent),
    terms: fc.array(term, { maxLength: 3 }),
    ageMs: fc.nat(),
  },
  PLAIN,
);
const versions = fc.record(
  { version: version, instancesRevision: version, primariesRevision: version },
  PLAIN,
);

/** Applies all snapshots in this order, and checks that no version ever decreases. */
function applyAll(
  known: DirectoryVersions,
  offers: readonly InstanceSnapshot[],
): DirectoryVersions {
  return offers.reduce((before, offer) => {
    const applied = selectNewerParts(before, offer);
    const after = versionsAfter(before, applied);
    if (applied.configuration !== undefined)
      assert.ok(applied.configuration.version > before.version);
    if (applied.instances !== undefined) {
      assert.ok(applied.instances.revision > before.instancesRevision);
    }
    if (applied.primaries !== undefined) {
      assert.ok(applied.primaries.revision > before.primariesRevision);
    }
    assert.ok(after.version >= before.version);
    assert.ok(after.instancesRevision >= before.instancesRevision);
    assert.ok(after.primariesRevision >= before.primariesRevision);
    return after;
  }, known);
}

test('the highest version of each part wins in any order, and none decreases', () => {
  fc.assert(
    fc.property(versions, fc.array(snapshot, { maxLength: 6 }), (known, offers) => {
      const highest = {
        version: Math.max(known.version, ...offers.map((one) => one.configuration?.version ?? 0)),
        instancesRevision: Math.max(
          known.instancesRevision,
          ...offers.map((one) => one.instances?.revision ?? 0),
        ),
        primariesRevision: Math.max(
          known.primariesRevision,
          ...offers.map((one) => one.primaries?.revision ?? 0),
        ),
      };
      assert.equal(applyAll(known, offers), highest);
      assert.equal(applyAll(known, [...offers].reverse()), highest);
    }),
    SETTINGS,
  );
});

test('a snapshot is unchanged by encoding and decoding', () => {
  fc.assert(
    fc.property(snapshot, (sent) => {
      const received = parseSnapshot(decodeValue(encodeValue(sent, MAX_BYTES)));
      assert.equal(received._unsafeUnwrap(), sent);
    }),
    SETTINGS,
  );
});

test('a malformed snapshot is rejected as a whole, and parsing never throws', () => {
  const whole = {
    configuration: { version: 3, text: '{}' },
    instances: { revision: 4, instances: [], departed: [] },
    primaries: { revision: 4, primaries: [{ service: 's', instanceId: 'i' }] },
    terms: [{ service: 's', instanceId: 'i', term: 2 }],
    ageMs: 5,
  };
  assert.ok(parseSnapshot(whole).isOk());
  const entry = { id: 'i', service: 's', host: '10.0.0.1', port: 80, zone: 'z', slots: 2 };
  const badEntry = { ...entry, draining: false, role: 'primary', port: 70_000 };
  const changes: object[] = [
    { configuration: { version: -1, text: '' } },
    { configuration: { version: 2 ** 60, text: '' } },
    { configuration: 'text' },
    { instances: { revision: 4, instances: [badEntry], departed: [] } },
    { instances: { revision: 4, instances: [], departed: [entry] } },
    { instances: { revision: 4, instances: new Array(5000).fill({}), departed: [] } },
    { primaries: { revision: 1.5, primaries: [] } },
    { terms: undefined },
    { terms: [{ service: 's', instanceId: 'i', term: Number.NaN }] },
    { members: { hasStore: 'yes', listAgeMs: 4, departed: [] } },
    { members: { hasStore: true, listAgeMs: -4, departed: [] } },
    { members: { hasStore: true, listAgeMs: 4, departed: [badEntry] } },
    { members: { hasStore: true, listAgeMs: 4 } },
    {
      members: { hasStore: true, listAgeMs: 4, departed: [], outages: [{ node: 'n', ageMs: -1 }] },
    },
    { members: { hasStore: true, listAgeMs: 4, departed: [], outages: [], fleetNodes: 1.5 } },
    { ageMs: -1 },
    { ageMs: Number.POSITIVE_INFINITY },
  ];
  for (const change of changes) {
    assert.is(parseSnapshot({ ...whole, ...change }).isErr(), true, JSON.stringify(change));
  }
  fc.assert(
    fc.property(fc.anything(), (value) => {
      parseSnapshot(value);
      parseSnapshotRequest(value);
    }),
    SETTINGS,
  );
});

test('a request must have a version of each part and a numeric address', () => {
  const from = { host: '10.0.0.1', port: 8782 };
  assert.equal(parseSnapshotRequest({ known: NO_VERSIONS, from })._unsafeUnwrap(), {
    known: NO_VERSIONS,
    from,
  });
  for (const bad of [{ ...from, host: 'a.name' }, { ...from, port: 0 }, { host: from.host }]) {
    assert.ok(parseSnapshotRequest({ known: NO_VERSIONS, from: bad }).isErr());
  }
  assert.ok(parseSnapshotRequest({ known: { ...NO_VERSIONS, version: '1' }, from }).isErr());
});

test('the list of known peers is bounded, and a node never selects itself', () => {
  const own = { host: '10.0.0.1', port: 1 };
  const seed = { host: '10.0.0.2', port: 1 };
  const list = new PeerList(own, [own, seed]);
  list.add(own);
  list.add(seed);
  assert.equal(list.select(9, 0), [seed]);
  for (let port = 2; port < 100; port += 1) list.add({ host: '10.0.0.3', port });
  assert.is(list.select(1000, 0).length, 65);
  const selected = list.select(3, 0.999).map(({ port }) => port);
  assert.equal(selected, [99, 1, 36]);
});

test.run();
