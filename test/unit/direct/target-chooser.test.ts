/** The log position that a read requires, and the instance chosen for it. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { SessionRequirement } from '../../../src/core/request.js';
import { UNTOUCHED_REQUIREMENT } from '../../../src/core/session/state.js';
import { PositionSamples } from '../../../src/core/statements/position-samples.js';
import type { RouteDescription } from '../../../src/direct/contract.js';
import type { FleetPlacement } from '../../../src/direct/fleet-placement.js';
import type { PrimaryView } from '../../../src/direct/promotion/contract.js';
import { RequestTrace } from '../../../src/direct/request-trace.js';
import type { InstanceRuntime, ServiceRuntime } from '../../../src/direct/service-runtime.js';
import { type Placement, TargetChooser } from '../../../src/direct/target-chooser.js';
import type { TrustProver } from '../../../src/direct/trust-prover.js';

const NOW = 10_000;
const MAX_STALENESS_MS = 2500;
const ROUTE: RouteDescription = {
  ...{ name: 'orders', database: 'orders', service: 'ledger', consistency: 'bounded-staleness' },
  ...{ maxStalenessMs: MAX_STALENESS_MS, timeoutMs: 1000, targetLatencyMs: 200, priority: 1 },
};

/** The position required by a read with a staleness bound of 2.5 s, given samples of these ages. */
function requiredOf(agesMs: readonly number[]): bigint | undefined {
  const samples = new PositionSamples();
  for (const [index, ageMs] of agesMs.entries()) {
    samples.add({ sentAt: NOW - ageMs, position: { timeline: 1, lsn: BigInt(index + 1) } });
  }
  const replica = { id: 'replica', answerMs: 10, outstanding: 0, avoidUntil: 0, sameZone: true };
  const service = { name: 'ledger', samples, readable: () => [replica as InstanceRuntime] };
  const view = { mayTrustPrimary: () => true, primaryOf: () => undefined, isChanging: () => false };
  const chooser = new TargetChooser({
    view: view as unknown as PrimaryView,
    prover: {} as TrustProver,
    now: () => NOW,
  });
  const placement = {
    ...{
      access: 'read',
      route: ROUTE,
      service: service as unknown as ServiceRuntime,
      beganAt: NOW,
    },
    session: { values: new Map(), requirement: UNTOUCHED_REQUIREMENT },
  } as unknown as Placement;
  return chooser.choose(placement, new Set())?.after?.lsn;
}

test('a read may use a position almost as old as its bound', () => {
  assert.is(requiredOf([2600, 2350, 100]), 2n);
});

test('a read never requires an older position than its staleness bound allows, with a margin for the transit time', () => {
  assert.is(requiredOf([2600, 2450, 100]), 3n);
});

test('a session that may have written to the service beyond what is remembered reads at the primary', () => {
  const { chooser, read } = chooserWith(undefined);
  const primary = { id: 'primary', pool: { health: { isStalled: () => false }, instance: {} } };
  const service = { ...read.service, primary: () => primary } as unknown as ServiceRuntime;
  const route = { ...ROUTE, consistency: 'read-your-writes' as const };
  const targetFor = (requirement: SessionRequirement) => {
    const session = { ...read.session, requirement };
    return chooser.choose({ ...read, route, service, session }, new Set());
  };
  assert.is(targetFor({ type: 'unknown' })?.instance.id, 'primary');
  const known = targetFor({ type: 'known', position: { timeline: 1, lsn: 9n } });
  assert.is(known?.instance.id, 'near');
  assert.is(known?.after?.lsn, 9n);
});

/** A chooser and a read for a service with a replica in this zone, a replica in another zone, and the primary. */
function chooserWith(placement: FleetPlacement | undefined) {
  const samples = new PositionSamples();
  samples.add({ sentAt: NOW - 2450, position: { timeline: 1, lsn: 4n } });
  const instance = (id: string, changes: Partial<InstanceRuntime>) =>
    ({
      ...{ id, answerMs: 10, outstanding: 0, avoidUntil: 0, slots: 4 },
      ...{ sameZone: false, primary: false, ...changes },
    }) as InstanceRuntime;
  const instances = [
    instance('near', { sameZone: true }),
    instance('far', {}),
    instance('primary', { primary: true }),
  ];
  samples.add({ sentAt: NOW - 100, position: { timeline: 1, lsn: 5n } });
  const view = {
    ...{ mayTrustPrimary: () => true, hasBeenPrimary: () => true, isChanging: () => false },
    primaryOf: () => ({ id: 'primary' }),
  };
  const chooser = new TargetChooser({
    ...{ view: view as unknown as PrimaryView, prover: {} as TrustProver, now: () => NOW },
    placement,
  });
  const service = { name: 'ledger', samples, readable: () => instances };
  const trace = new RequestTrace(NOW, () => NOW);
  const read = {
    ...{ access: 'read', route: ROUTE, service: service as unknown as ServiceRuntime, trace },
    session: { values: new Map(), requirement: UNTOUCHED_REQUIREMENT },
  } as unknown as Placement;
  return { chooser, read, trace };
}

/** A placement that ranks the instances in this order and records its calls. */
function placementOf(order: readonly string[]) {
  const rankCalls: { readonly ids: readonly string[]; readonly mayProbe: boolean }[] = [];
  const rank = (_service: string, instances: readonly InstanceRuntime[], mayProbe: boolean) => {
    rankCalls.push({ ids: instances.map(({ id }) => id), mayProbe });
    return instances
      .map((candidate) => ({ candidate, expectedMs: 10 * (1 + order.indexOf(candidate.id)) }))
      .sort((left, right) => left.expectedMs - right.expectedMs);
  };
  return { rankCalls, placement: { rank } as unknown as FleetPlacement };
}

test('without the view of the fleet, instances are ranked by the observations of the node itself', () => {
  const absent = { rank: () => undefined } as unknown as FleetPlacement;
  for (const placement of [undefined, absent]) {
    const { chooser, read } = chooserWith(placement);
    const target = chooser.choose(read, new Set());
    assert.is(target?.instance.id, 'near');
    assert.is(chooser.choose(read, new Set(['near']))?.instance.id, 'far');
    assert.is(target?.expected, undefined);
  }
});

test('the view of the fleet ranks only instances that are safe to read, and the trace contains the expected times', () => {
  const { rankCalls, placement } = placementOf(['far', 'primary', 'near']);
  const { chooser, read, trace } = chooserWith(placement);
  assert.is(chooser.choose(read, new Set())?.instance.id, 'far');
  assert.is(chooser.choose(read, new Set(['far']))?.instance.id, 'primary');
  chooser.recordAnswer('far', { timeline: 1, lsn: 4n }, 'lagging');
  assert.is(chooser.choose(read, new Set())?.instance.id, 'primary');
  assert.equal(
    rankCalls.map(({ ids }) => ids.join(' ')),
    ['near far primary', 'near primary', 'near primary'],
  );
  const [step] = trace.steps;
  assert.is(step?.step === 'chosen' && step.expectedMs, 10);
  assert.equal(step?.step === 'chosen' && step.passedBy, { primary: 20, near: 30 });
});

test('only a first single read may try an instance in probation', () => {
  const { rankCalls, placement } = placementOf(['near', 'far', 'primary']);
  const { chooser, read } = chooserWith(placement);
  chooser.choose(read, new Set());
  chooser.choose(read, new Set(['far']));
  chooser.choose({ ...read, isTransaction: true }, new Set());
  assert.equal(
    rankCalls.map(({ mayProbe }) => mayProbe),
    [true, false, false],
  );
});

test.run();
