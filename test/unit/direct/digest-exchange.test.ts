/** Digests exchanged between nodes: format, size limit, and rejection of malformed, old or implausible ones. */
import { okAsync } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FleetDigests } from '../../../src/core/fleet/fleet-digests.js';
import type { InstanceDigest } from '../../../src/core/fleet/instance-digest.js';
import { instanceKey } from '../../../src/core/fleet/instance-key.js';
import type { ReadersOfNode } from '../../../src/core/ownership/watch-readers.js';
import type { InstanceEntry } from '../../../src/direct/contract.js';
import { DigestExchange } from '../../../src/direct/readers/digest-exchange.js';
import { encodeDigests, parseDigests } from '../../../src/direct/readers/digest-messages.js';
import { answerPositions, ZonePositions } from '../../../src/direct/readers/zone-positions.js';
import { encodeValue } from '../../../src/peer/codec.js';
import type { PeerTransport, WireValue } from '../../../src/peer/contract.js';

const NOW = 50_000;
const REQUEST_PERIOD_MS = 400;
const MAX_BYTES_PER_SECOND = 1024;

function entryOf(id: string): InstanceEntry {
  return { id, service: 'ledger' } as InstanceEntry;
}

function digestOf(id: string, changes: Partial<InstanceDigest> = {}): InstanceDigest {
  return {
    ...{ service: 'ledger', instanceId: id, ageMs: 200, observers: 12 },
    ...{ answered: 123, refused: 4, failed: 5, answerMs: 12.3, waitMs: 0.4 },
    ...changes,
  };
}

/** A node that knows these instances. */
function nodeOf(ids: readonly string[]) {
  const digests = new FleetDigests();
  const instances = () => ids.map(entryOf);
  return { digests, exchange: new DigestExchange({ digests, instances, now: () => NOW }) };
}

function rowOf(id: string, changes: Partial<InstanceDigest> = {}): number[] {
  const [row] = encodeDigests([digestOf(id, changes)]) as number[][];
  return row ?? [];
}

test('an encoded digest is received unchanged', () => {
  const rows = parseDigests(encodeDigests([digestOf('i-1')]));
  const { instanceId, service: _service, ...fields } = digestOf('i-1');
  assert.equal(rows, [{ key: instanceKey(instanceId), ...fields }]);
});

test('a message stays below its size limit, however many instances there are', () => {
  for (const count of [18, 60, 300]) {
    const ids = Array.from({ length: count }, (_, index) => `i-${index}@1780000000`);
    const large = { ageMs: 2400, answered: 1900, answerMs: 1234.5, waitMs: 99.9 };
    const message = encodeDigests(ids.map((id) => digestOf(id, large)));
    const bytes = encodeValue(message, 1_000_000).length;
    assert.ok((bytes * 1000) / REQUEST_PERIOD_MS < MAX_BYTES_PER_SECOND, `${count}: ${bytes}`);
  }
});

test('malformed, stale and implausible digests, and those of an earlier incarnation, are counted and ignored', () => {
  const { digests, exchange } = nodeOf(['i-1@2']);
  for (const malformed of [17, 'x', {}, [3], [['a']], [[1, 2, 3]], [rowOf('i-1@2').map(String)]]) {
    exchange.receive(malformed, 'n1');
  }
  assert.is(exchange.counters.malformed, 7);
  exchange.receive([rowOf('i-1@1')], 'n1');
  assert.is(exchange.counters.unknownInstance, 1);
  exchange.receive([rowOf('i-1@2', { ageMs: 9000 })], 'n1');
  assert.is(exchange.counters.stale, 1);
  exchange.receive([rowOf('i-1@2', { answered: 99_000_000 })], 'n1');
  assert.is(exchange.counters.implausible, 1);
  assert.is(digests.viewOf('i-1@2', NOW), undefined);
  exchange.receive([[...rowOf('i-1@2'), 7, 'of a later version']], 'n1');
  assert.is(exchange.counters.taken, 1);
  assert.is(Math.round(digests.viewOf('i-1@2', NOW)?.answerMs ?? 0), 12);
});

/** A node and a reader of its zone, which responds as one of the gateway's versions does. */
function zoneOf(reader: (request: WireValue) => WireValue | undefined) {
  const node = nodeOf(['i-1', 'i-2']);
  const world = { now: NOW, queriedPorts: [] as number[] };
  const transport = {
    call: ({ port }: { port: number }, method: string, request: WireValue) => {
      world.queriedPorts.push(port);
      assert.is(method, 'direct/positions');
      return okAsync(reader(request));
    },
  } as unknown as PeerTransport;
  const readers: ReadersOfNode = {
    type: 'others',
    readers: [1, 2].map((port) => ({ nodeId: `r${port}`, zone: 'a', host: '10.0.0.1', port })),
  };
  const zone = new ZonePositions({
    ...{ transport: () => transport, readers: () => readers, now: () => world.now },
    ...{ random: () => 0, exchange: node.exchange },
  });
  return { ...node, zone, world };
}

test('a node receives the observations of another node through its readers, each of which it queries in turn', async () => {
  const other = nodeOf(['i-1', 'i-2']);
  other.digests.recordOwn('ledger', 'i-2', { type: 'answered', answerMs: 80 }, NOW);
  const answer = (request: WireValue) =>
    answerPositions('direct/positions', request, () => [], {
      exchange: other.exchange,
      requesterId: 'n1',
    });
  const { zone, digests, world } = zoneOf(answer);
  digests.recordOwn('ledger', 'i-1', { type: 'failed' }, NOW);
  assert.not(zone.isFleetSeen());
  assert.ok(zone.sendsDigests);
  await zone.requestPositions([]);
  await zone.requestPositions([]);
  assert.equal(world.queriedPorts, [1, 2]);
  assert.ok(zone.isFleetSeen());
  assert.is(digests.viewOf('i-2', NOW)?.answerMs, 80);
  assert.ok((other.digests.viewOf('i-1', NOW)?.failed ?? 0) > 0);
  world.now += 2500;
  assert.not(zone.isFleetSeen());
});

test('a reader of an earlier version responds without digests, and its positions are used', async () => {
  const { zone } = zoneOf(() => [
    { service: 'ledger', instanceId: 'i-1', position: { timeline: 3, lsn: '17' }, ageMs: 20 },
  ]);
  const positions = await zone.requestPositions(['ledger']);
  assert.is(positions.length, 1);
  assert.not(zone.isFleetSeen());
});

test('a node of an earlier version gets a response in the format that it knows', () => {
  const { exchange } = nodeOf(['i-1']);
  const request = { services: ['ledger'] };
  const digests = { exchange, requesterId: 'n1' };
  assert.equal(
    answerPositions('direct/positions', request, () => [], digests),
    [],
  );
});

test.run();
