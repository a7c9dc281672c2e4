/** Admission at one instance that is short of slots: order, concurrency limit and admission level, in virtual time. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  ConcurrencyLimiter,
  type LimiterOptions,
} from '../../src/core/admission/concurrency-limiter.js';
import { admissionRules } from '../../src/core/admission/instance-admission.js';
import {
  type OrderView,
  STARTS_PER_OLDEST,
  StarvationGuard,
  startsBefore,
  type WaitingWork,
} from '../../src/core/admission/queue-order.js';
import {
  type FleetOptions,
  type FleetReport,
  type KindCount,
  REQUEST_KINDS,
  simulateFleet,
} from '../support/admission-fleet.js';

const SETTINGS = { seed: 20261203, numRuns: 300 };
const SEEDS = [7, 11, 2026];
const RULES = admissionRules(
  REQUEST_KINDS.map(({ priority, latencyTargetMs }) => ({
    priority,
    targetLatencyMs: latencyTargetMs,
  })),
);
const STEP_AT_MS = 3000;
const SETTLED_MS = 1000;
const SECONDS = 10;
/** One node; a small fleet whose nodes have their own connections; the three owners in a fleet of 91 nodes. */
const FLEETS = [
  { nodes: 1, connections: 45 },
  { nodes: 12, connections: 5 },
  { nodes: 3, connections: 15 },
];

/** Plays a load of half the instance's capacity at first, then `load` times the capacity. */
function play(load: number, seed: number, fleet: Partial<FleetOptions>): FleetReport {
  return simulateFleet({
    ...{ nodes: 1, connections: 45, rules: RULES, seed, seconds: SECONDS },
    countFromMs: STEP_AT_MS + SETTLED_MS,
    load: (now) => (now < STEP_AT_MS ? 0.5 : load),
    ...fleet,
  });
}

function inAim({ kinds }: FleetReport, priority: number): number {
  const count = kinds[priority] as KindCount;
  return count.withinTarget / count.arrived;
}

/** Goodput of each whole second after the admission level has settled. */
function secondsOf({ goodput }: FleetReport): number[] {
  const sums: number[] = [];
  for (let at = (STEP_AT_MS + SETTLED_MS) / 100; at + 10 <= goodput.length; at += 10) {
    sums.push(goodput.slice(at, at + 10).reduce((sum, part) => sum + part, 0) / 10);
  }
  return sums;
}

for (const fleet of FLEETS) {
  test(`${fleet.nodes} nodes before an instance: what it can do is used, the highest priority first`, () => {
    for (const seed of SEEDS) {
      const peak = Math.max(...secondsOf(play(1, seed, fleet)));
      for (const load of [2, 4]) {
        const report = play(load, seed, fleet);
        const told = `seed ${seed}, load ${load}: ${JSON.stringify(report.kinds)}`;
        const seconds = secondsOf(report);
        const mean = seconds.reduce((sum, part) => sum + part, 0) / seconds.length;
        assert.ok(mean >= 0.95 * peak, `goodput ${mean} of ${peak}, ${told}`);
        assert.ok(Math.min(...seconds) >= 0.9 * peak, `${seconds}, ${told}`);
        assert.ok(inAim(report, 0) >= 0.99, `${inAim(report, 0)} in aim, ${told}`);
        assert.ok(report.longestUntriedWait <= 0.5 + 0.01, told);
        assert.ok(inAim(report, 0) >= inAim(report, 1) && inAim(report, 1) >= inAim(report, 2));
      }
    }
  });
}

test('without scarcity all is served as without admission', () => {
  for (const fleet of FLEETS) {
    for (const load of [0.3, 0.5]) {
      const [off, on] = [undefined, RULES].map((rules) => play(load, 7, { ...fleet, rules }));
      assert.equal(on?.kinds, off?.kinds);
      assert.equal(on?.goodput, off?.goodput);
    }
  }
});

test('without rules the highest priority is refused like the others: what the parts are for', () => {
  const report = play(4, 7, { nodes: 12, connections: 5, rules: undefined });
  assert.ok(inAim(report, 0) < 0.5);
});

test('nodes that see only low priorities leave room to those that see only the highest', () => {
  const receives: FleetOptions['receives'] = (node, { priority }) => (priority === 0) === node < 4;
  for (const seed of SEEDS) {
    const report = play(2, seed, { nodes: 12, connections: 5, receives });
    assert.ok(inAim(report, 0) >= 0.95, JSON.stringify(report.kinds));
  }
});

test('where all routes have the same priority, nothing competes', () => {
  assert.is(admissionRules([]), undefined);
  const route = { priority: 1, targetLatencyMs: 100 };
  assert.is(admissionRules([route, { ...route, targetLatencyMs: 50 }]), undefined);
  const other = { priority: 3, targetLatencyMs: 50 };
  assert.equal(admissionRules([route, other]), {
    targetDelayMs: 10,
    highestPriority: 1,
    lowestPriority: 3,
  });
});

const work: fc.Arbitrary<WaitingWork> = fc.record({
  tenant: fc.constantFrom('a', 'b', 'c'),
  priority: fc.nat(3),
  weight: fc.integer({ min: 1, max: 4 }),
  queuedAt: fc.nat(1000),
  latencyTargetAt: fc.nat(3000),
});
const view: fc.Arbitrary<OrderView> = fc.record({
  now: fc.integer({ min: 1000, max: 2000 }),
  held: fc.constant(new Map([['a', 2]])),
  responseMs: fc.constant(() => 25),
});

test('the order is one: of any two at most one starts first, and a chain of three holds', () => {
  fc.assert(
    fc.property(work, work, work, view, (one, two, three, at) => {
      assert.not(startsBefore(one, two, at) && startsBefore(two, one, at));
      if (startsBefore(one, two, at) && startsBefore(two, three, at)) {
        assert.ok(startsBefore(one, three, at));
      }
      if (one.priority < two.priority) assert.ok(startsBefore(one, two, at));
    }),
    SETTINGS,
  );
});

test('what waits longest is started after so many others, whatever its priority', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 3 }), view, (priority, at) => {
      const oldest: WaitingWork = {
        tenant: 'a',
        priority,
        weight: 1,
        queuedAt: 0,
        latencyTargetAt: 5000,
      };
      const first: WaitingWork = {
        ...oldest,
        priority: 0,
        queuedAt: 1,
        latencyTargetAt: at.now + 500,
      };
      const passed = new StarvationGuard();
      const chosen = Array.from({ length: STARTS_PER_OLDEST }, () =>
        passed.choose(first, oldest, at),
      );
      assert.is(chosen.filter((one) => one === oldest).length, 1);
      // Starting the oldest first would make this one late.
      const urgent = { ...first, latencyTargetAt: at.now + 40 };
      for (let count = 0; count < STARTS_PER_OLDEST; count += 1) {
        assert.is(passed.choose(urgent, oldest, at), urgent);
      }
    }),
    SETTINGS,
  );
});

const OPTIONS: LimiterOptions = {
  slots: 5,
  sharers: 12,
  targetDelayMs: 50,
  highestPriority: 0,
  lowestPriority: 2,
};

/** Records responses with these durations at the limiter, 200 ms apart. */
function heard(
  room: ConcurrencyLimiter,
  from: number,
  answers: readonly number[],
): ConcurrencyLimiter {
  for (const [index, tookMs] of answers.entries()) {
    const outcome = { priority: 1, tookMs, inFlight: 5 };
    room.recordResponse(outcome, OPTIONS, from + index * 200);
  }
  return room;
}

test('the level never shuts out the highest priority, and is gone after as many calm answers', () => {
  const took = fc.array(fc.integer({ min: 1, max: 2000 }), { minLength: 30, maxLength: 100 });
  fc.assert(
    fc.property(took, fc.double({ min: 0, max: 0.999, noNaN: true }), (answers, spread) => {
      const room = heard(new ConcurrencyLimiter(), 0, answers);
      assert.ok(room.admits(0, spread));
      heard(room, 100_000, new Array<number>(120).fill(1));
      assert.ok(room.admits(2, spread));
      assert.not(room.isLimited);
    }),
    SETTINGS,
  );
});

test('a node without answers goes by what the fleet sees, and without that its level passes', () => {
  let told: number | undefined;
  const room = new ConcurrencyLimiter(() => told);
  heard(room, 0, [20, 20, 20, 20, ...new Array<number>(20).fill(900)]);
  assert.not(room.admits(2, 0.9), 'short by its own answers');
  told = 10;
  for (let now = 10_000; now < 40_000; now += 50) room.adjust(OPTIONS, 0, now);
  assert.ok(room.admits(2, 0.9), 'the others see no delay');
  told = 500;
  for (let now = 50_000; now < 60_000; now += 50) room.adjust(OPTIONS, 0, now);
  assert.not(room.admits(2, 0.9), 'the others see delay');
  told = undefined;
  for (let now = 60_000; now < 80_000; now += 50) room.adjust(OPTIONS, 0, now);
  assert.ok(room.admits(2, 0.9), 'nobody tells anything any more');
});

test('a new life of a node begins with all let in', () => {
  const room = new ConcurrencyLimiter();
  assert.equal(room.state, { concurrencyLimit: undefined, admissionLevel: undefined });
  assert.ok(room.admits(2, 0.999));
});

test.run();
