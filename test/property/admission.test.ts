/** Admission at an overloaded instance, in virtual time: queue order, concurrency limit and admission level. */
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
/** One node; a small cluster whose nodes have their own connections; the three owners in a cluster of 91 nodes. */
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

function fractionWithinTarget({ kinds }: FleetReport, priority: number): number {
  const count = kinds[priority] as KindCount;
  return count.withinTarget / count.arrived;
}

/** Goodput of each whole second after the admission level has settled. */
function goodputBySecond({ goodput }: FleetReport): number[] {
  const sums: number[] = [];
  for (let at = (STEP_AT_MS + SETTLED_MS) / 100; at + 10 <= goodput.length; at += 10) {
    sums.push(goodput.slice(at, at + 10).reduce((sum, part) => sum + part, 0) / 10);
  }
  return sums;
}

for (const fleet of FLEETS) {
  test(`${fleet.nodes} nodes at an instance: its capacity is used, the highest priority first`, () => {
    for (const seed of SEEDS) {
      const peak = Math.max(...goodputBySecond(play(1, seed, fleet)));
      for (const load of [2, 4]) {
        const report = play(load, seed, fleet);
        const context = `seed ${seed}, load ${load}: ${JSON.stringify(report.kinds)}`;
        const seconds = goodputBySecond(report);
        const mean = seconds.reduce((sum, part) => sum + part, 0) / seconds.length;
        assert.ok(mean >= 0.95 * peak, `goodput ${mean} of ${peak}, ${context}`);
        assert.ok(Math.min(...seconds) >= 0.9 * peak, `${seconds}, ${context}`);
        assert.ok(
          fractionWithinTarget(report, 0) >= 0.99,
          `${fractionWithinTarget(report, 0)} in aim, ${context}`,
        );
        assert.ok(report.longestUntriedWait <= 0.5 + 0.01, context);
        assert.ok(
          fractionWithinTarget(report, 0) >= fractionWithinTarget(report, 1) &&
            fractionWithinTarget(report, 1) >= fractionWithinTarget(report, 2),
        );
      }
    }
  });
}

test('below capacity, requests are served as without admission rules', () => {
  for (const fleet of FLEETS) {
    for (const load of [0.3, 0.5]) {
      const [off, on] = [undefined, RULES].map((rules) => play(load, 7, { ...fleet, rules }));
      assert.equal(on?.kinds, off?.kinds);
      assert.equal(on?.goodput, off?.goodput);
    }
  }
});

test('without rules, the highest priority is refused like the others', () => {
  const report = play(4, 7, { nodes: 12, connections: 5, rules: undefined });
  assert.ok(fractionWithinTarget(report, 0) < 0.5);
});

test('nodes with only low priorities leave capacity to nodes with only the highest', () => {
  const receives: FleetOptions['receives'] = (node, { priority }) => (priority === 0) === node < 4;
  for (const seed of SEEDS) {
    const report = play(2, seed, { nodes: 12, connections: 5, receives });
    assert.ok(fractionWithinTarget(report, 0) >= 0.95, JSON.stringify(report.kinds));
  }
});

test('without different priorities there are no admission rules', () => {
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

test('the queue order is antisymmetric and transitive', () => {
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

test('the oldest request starts after a bounded number of others, whatever its priority', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 3 }), view, (priority, at) => {
      const oldest: WaitingWork = {
        tenant: 'a',
        priority,
        weight: 1,
        queuedAt: 0,
        latencyTargetAt: 5000,
      };
      const competing: WaitingWork = {
        ...oldest,
        priority: 0,
        queuedAt: 1,
        latencyTargetAt: at.now + 500,
      };
      const guard = new StarvationGuard();
      const chosen = Array.from({ length: STARTS_PER_OLDEST }, () =>
        guard.choose(competing, oldest, at),
      );
      assert.is(chosen.filter((one) => one === oldest).length, 1);
      // Starting the oldest first would make this request miss its latency target.
      const urgent = { ...competing, latencyTargetAt: at.now + 40 };
      for (let count = 0; count < STARTS_PER_OLDEST; count += 1) {
        assert.is(guard.choose(urgent, oldest, at), urgent);
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
function recordResponses(
  limiter: ConcurrencyLimiter,
  from: number,
  durations: readonly number[],
): ConcurrencyLimiter {
  for (const [index, tookMs] of durations.entries()) {
    const outcome = { priority: 1, tookMs, inFlight: 5 };
    limiter.recordResponse(outcome, OPTIONS, from + index * 200);
  }
  return limiter;
}

test('the level always admits the highest priority, and is lifted after enough fast responses', () => {
  const took = fc.array(fc.integer({ min: 1, max: 2000 }), { minLength: 30, maxLength: 100 });
  fc.assert(
    fc.property(took, fc.double({ min: 0, max: 0.999, noNaN: true }), (durations, spread) => {
      const limiter = recordResponses(new ConcurrencyLimiter(), 0, durations);
      assert.ok(limiter.admits(0, spread));
      recordResponses(limiter, 100_000, new Array<number>(120).fill(1));
      assert.ok(limiter.admits(2, spread));
      assert.not(limiter.isLimited);
    }),
    SETTINGS,
  );
});

test('a node without responses uses the delay that the cluster reports; without that, its level expires', () => {
  let fleetDelayMs: number | undefined;
  const limiter = new ConcurrencyLimiter(() => fleetDelayMs);
  recordResponses(limiter, 0, [20, 20, 20, 20, ...new Array<number>(20).fill(900)]);
  assert.not(limiter.admits(2, 0.9), 'limited by its own responses');
  fleetDelayMs = 10;
  for (let now = 10_000; now < 40_000; now += 50) limiter.adjust(OPTIONS, 0, now);
  assert.ok(limiter.admits(2, 0.9), 'the others see no delay');
  fleetDelayMs = 500;
  for (let now = 50_000; now < 60_000; now += 50) limiter.adjust(OPTIONS, 0, now);
  assert.not(limiter.admits(2, 0.9), 'the others see delay');
  fleetDelayMs = undefined;
  for (let now = 60_000; now < 80_000; now += 50) limiter.adjust(OPTIONS, 0, now);
  assert.ok(limiter.admits(2, 0.9), 'no reports any more');
});

test('a new incarnation of a node admits all requests at first', () => {
  const limiter = new ConcurrencyLimiter();
  assert.equal(limiter.state, { concurrencyLimit: undefined, admissionLevel: undefined });
  assert.ok(limiter.admits(2, 0.999));
});

test.run();
