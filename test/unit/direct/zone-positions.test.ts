/** Positions of primaries from a zone's readers: which age they count with, and when the primary itself is queried. */
import { errAsync, okAsync } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReachableNode } from '../../../src/core/ownership/owner-roster.js';
import type { ReadersOfNode } from '../../../src/core/ownership/watch-readers.js';
import type { Position } from '../../../src/core/position.js';
import { PositionSampler } from '../../../src/direct/position-sampler.js';
import type { PrimaryView } from '../../../src/direct/promotion/contract.js';
import {
  encodeReportedPositions,
  parsePositionsRequest,
  parseReportedPositions,
  type ReportedPosition,
  ZonePositions,
} from '../../../src/direct/readers/zone-positions.js';
import { REPORTED_BY_REPLICAS, type ServiceRuntime } from '../../../src/direct/service-runtime.js';
import type { StatementRunner } from '../../../src/direct/statement-runner.js';
import type { TrustProver } from '../../../src/direct/trust-prover.js';
import type { StatementWire } from '../../../src/direct/wire.js';
import type { PeerTransport, WireValue } from '../../../src/peer/contract.js';
import { PeerUnreachableError } from '../../../src/peer/errors.js';

const position: Position = { timeline: 3, lsn: 17n };
const REPORTED: ReportedPosition = { service: 'orders', instanceId: 'i-1', position, ageMs: 300 };
const reader = (name: string): ReachableNode => ({
  ...{ nodeId: name, zone: 'a', host: '10.0.0.1', port: 1 },
});

/** A node whose readers send these responses; undefined for no response. */
function zoneOf(readers: ReadersOfNode, answers: (request: string) => WireValue | undefined) {
  const world = { now: 10_000, requests: [] as string[] };
  const transport = {
    call: ({ port }: ReachableNode, _method: string, body: WireValue) => {
      const names = parsePositionsRequest(body) ?? [];
      world.requests.push(`${port}: ${names.join()}`);
      const answer = answers(names.join());
      return answer === undefined
        ? errAsync(new PeerUnreachableError('reader', 'silent'))
        : okAsync(answer);
    },
  } as unknown as PeerTransport;
  const zone = new ZonePositions({
    transport: () => transport,
    readers: () => readers,
    now: () => world.now,
    random: () => 0,
  });
  return { world, zone };
}

interface Situation {
  readonly newestAt?: number;
  readonly avoidUntil?: number;
  readonly isTrusted?: boolean;
  /** No primary is known. */
  readonly isLeaderless?: boolean;
}

/** Runs the sampler once and returns the positions taken from the zone and the queries it sent itself. */
async function sampleOnce(answer: WireValue | undefined, situation: Situation = {}) {
  const { world, zone } = zoneOf({ type: 'others', readers: [reader('r')] }, () => answer);
  const taken: { readonly sentAt: number; readonly position: Position | undefined }[] = [];
  let ownQueries = 0;
  const pool = {
    lender: undefined,
    acquire: () => {
      ownQueries += 1;
      return new Promise(() => {});
    },
  };
  const primary = { id: 'i-1', pool, avoidUntil: situation.avoidUntil ?? 0 };
  const service = {
    name: 'orders',
    samples: { newestAt: () => situation.newestAt ?? world.now - 500 },
    primary: () => (situation.isLeaderless === true ? undefined : primary),
    isPrimaryAway: () => situation.isLeaderless === true,
    recordAcknowledged: (sentAt: number, position: Position) => {
      taken.push({ sentAt, position });
    },
    recordPosition: (_instance: unknown, sentAt: number, at: Position | undefined) => {
      taken.push({ sentAt, position: at });
    },
  } as unknown as ServiceRuntime;
  const view = {
    watchesPrimaries: false,
    mayTrustPrimary: () => situation.isTrusted ?? true,
  } as unknown as PrimaryView;
  const sampler = new PositionSampler({
    ...{ wire: {} as StatementWire, prover: {} as TrustProver, runner: {} as StatementRunner },
    ...{
      view,
      zone,
      counters: { samplesAsked: 0, replicaRounds: 0, replicaRoundsUnproven: 0 },
      now: () => world.now,
    },
  });
  const looked = sampler.sample([service]);
  world.now += 7;
  await looked;
  await Promise.resolve();
  await new Promise(setImmediate);
  return { taken, ownQueries: () => ownQueries, requests: world.requests };
}

test('a reported position counts from the time of the query less its age, and the primary is not queried', async () => {
  const { taken, ownQueries } = await sampleOnce(encodeReportedPositions([REPORTED]));
  assert.equal(taken, [{ sentAt: 10_000 - 300, position }]);
  assert.is(ownQueries(), 0);
});

test('without a primary the position that replicas reported to a reader is used, however old the last position is', async () => {
  const byReplicas = { ...REPORTED, instanceId: REPORTED_BY_REPLICAS };
  const answer = encodeReportedPositions([byReplicas]);
  const { taken, ownQueries } = await sampleOnce(answer, { isLeaderless: true, newestAt: 0 });
  assert.is(taken.length, 1);
  assert.is(ownQueries(), 0);
});

test('a position of another instance than the primary is rejected', async () => {
  const { taken } = await sampleOnce(encodeReportedPositions([{ ...REPORTED, instanceId: 'i-2' }]));
  assert.equal(taken, []);
});

test('this node queries the primary itself if the readers report nothing new, the primary failed recently, or it is not trusted', async () => {
  const answer = encodeReportedPositions([REPORTED]);
  const situations: readonly Situation[] = [
    { newestAt: 9000 },
    { avoidUntil: 8000 },
    { isTrusted: false },
  ];
  for (const situation of situations) {
    const { requests, ownQueries } = await sampleOnce(answer, situation);
    assert.equal([requests.length, ownQueries()], [0, 1], JSON.stringify(situation));
  }
});

test('an unresponsive reader is skipped for a while, and another one is queried', async () => {
  const readers = [reader('r-1'), { ...reader('r-2'), port: 2 }];
  const { world, zone } = zoneOf({ type: 'others', readers }, () => undefined);
  assert.equal(await zone.requestPositions(['orders']), []);
  await zone.requestPositions(['orders']);
  assert.equal(world.requests, ['1: orders', '2: orders']);
  assert.not(zone.isAvailable);
  world.now += 1000;
  assert.ok(zone.isAvailable);
  assert.ok(zoneOf({ type: 'self' }, () => undefined).zone.isReader);
});

test('malformed messages are rejected', () => {
  assert.equal(parseReportedPositions(encodeReportedPositions([REPORTED])), [REPORTED]);
  const malformed: readonly WireValue[] = [
    ...[
      null,
      {},
      [null],
      [{ ...REPORTED }],
      [{ ...REPORTED, position: { timeline: 1, lsn: '1x' } }],
    ],
    [{ ...REPORTED, position: { timeline: 1, lsn: '1' }, ageMs: -1 }],
    [{ ...REPORTED, position: { timeline: 1, lsn: '1' }, service: 5 }],
  ];
  for (const value of malformed) assert.is(parseReportedPositions(value), undefined);
  for (const value of [null, {}, { services: 'x' }, { services: [1] }]) {
    assert.is(parsePositionsRequest(value), undefined);
  }
  assert.equal(parsePositionsRequest({ services: ['a'] }), ['a']);
});

test.run();
