/** Expected response times of instances, and the choice of the instance that gets a read. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { FleetView } from '../../src/core/fleet/instance-digest.js';
import { rankForRead } from '../../src/core/placement/choice.js';
import {
  baselineAnswerMs,
  estimateReadMs,
  type ReadCandidate,
} from '../../src/core/placement/expected-time.js';
import { ServicePlacement } from '../../src/core/placement/service-placement.js';
import { seededRandom } from '../support/random.js';

const NOW = 1000;
const SAMPLES = 4000;

function instanceOf(changes: Partial<ReadCandidate> = {}): ReadCandidate {
  return {
    ...{ id: 'i-1', sameZone: true, primary: false, slots: 4 },
    ...{ outstanding: 0, answerMs: 10, avoidUntil: 0 },
    ...changes,
  };
}

function viewOf(changes: Partial<FleetView> = {}): FleetView {
  return {
    ...{ observers: 4, answered: 60, refused: 0, failed: 0, answerMs: 10, waitMs: 0 },
    ...changes,
  };
}

function timeOf(changes: Partial<ReadCandidate>, view?: Partial<FleetView>): number {
  return estimateReadMs(instanceOf(changes), view && viewOf(view), 10, NOW);
}

test('everything that delays a response increases the expected time', () => {
  const usual = timeOf({}, {});
  assert.ok(timeOf({ outstanding: 1 }, {}) > usual);
  assert.ok(timeOf({ sameZone: false }, {}) > usual);
  assert.ok(timeOf({ primary: true }, {}) > usual);
  assert.ok(timeOf({ avoidUntil: NOW + 1 }, {}) > usual);
  for (const view of [{ answerMs: 20 }, { waitMs: 5 }, { refused: 20 }, { failed: 20 }]) {
    assert.ok(timeOf({}, view) > usual, JSON.stringify(view));
  }
});

test('an instance of another zone is used once the one of the own zone takes twice as long, not only when it takes 40 ms longer', () => {
  const elsewhere = timeOf({ sameZone: false }, { answerMs: 12 });
  assert.ok(timeOf({}, { answerMs: 22 }) < elsewhere);
  assert.ok(timeOf({}, { answerMs: 35 }) > elsewhere);
});

test('the expected time at a primary rises with the slots in use', () => {
  const idle = timeOf({ primary: true }, { answered: 4 });
  assert.ok(timeOf({ primary: true }, { answered: 400 }) > 1.3 * idle);
});

test('an instance without recent observations is expected to be as fast as the fastest known replica', () => {
  const instances = [
    instanceOf({ id: 'slow', answerMs: 75 }),
    instanceOf({ id: 'quick', answerMs: 25 }),
    instanceOf({ id: 'primary', primary: true, answerMs: 3 }),
  ];
  const views = new Map([['quick', viewOf({ answerMs: 11 })]]);
  assert.is(baselineAnswerMs(instances, views), 11);
  assert.is(estimateReadMs(instanceOf({ answerMs: 500 }), undefined, 11, NOW), 11);
});

/** Fraction of the reads for which each instance is chosen. */
function sharesOf(times: readonly number[], zones: readonly boolean[], seed = 5): number[] {
  const random = seededRandom(seed);
  const candidates = times.map((time, index) => ({
    candidate: { index, sameZone: zones[index] === true },
    expectedMs: time,
  }));
  const counts = times.map(() => 0);
  for (let read = 0; read < SAMPLES; read += 1) {
    const index = rankForRead(candidates, random)[0]?.candidate.index ?? 0;
    counts[index] = (counts[index] ?? 0) + 1;
  }
  return counts.map((count) => count / SAMPLES);
}

test('equally fast instances get equal shares of the reads, so that nodes with the same view do not all choose one instance', () => {
  for (const share of sharesOf([10, 10, 10], [false, false, false])) {
    assert.ok(share > 0.29 && share < 0.38, String(share));
  }
  const [quick = 0, slower = 0] = sharesOf([10, 11], [true, true]);
  assert.ok(quick > slower && slower > 0.3, `${quick} ${slower}`);
});

test('an instance that is several times slower gets almost no reads', () => {
  const [slowFraction = 1] = sharesOf([75, 10, 10], [true, false, false]);
  assert.ok(slowFraction < 0.01, String(slowFraction));
});

test('reads stay in the zone while its instance is as fast as the others', () => {
  const [nearFraction = 0] = sharesOf([10, 23, 23], [true, false, false]);
  assert.ok(nearFraction > 0.95, String(nearFraction));
});

test('an ejected instance is ranked last, and is still used if it is the only one', () => {
  const views = new Map([
    ['i-0', viewOf()],
    ['i-1', viewOf({ answerMs: 90 })],
    ['i-2', viewOf()],
  ]);
  const placement = new ServicePlacement({
    viewOf: (id) => views.get(id),
    nodeCount: () => 1,
    random: seededRandom(3),
  });
  const loads = ['i-1', 'i-0', 'i-2'].map((id) => instanceOf({ id, sameZone: id === 'i-1' }));
  const [event] = placement.refresh(loads, 0);
  assert.is(event?.type, 'ejected');
  for (let read = 0; read < 100; read += 1) {
    assert.is(placement.rank(loads, 1, true)[2]?.candidate.id, 'i-1');
  }
  assert.is(placement.rank(loads.slice(0, 1), 1, false)[0]?.candidate.id, 'i-1');
});

test.run();
