/** Which log position a read of some age needs. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { PositionSamples } from '../../../src/core/statements/position-samples.js';
import type { RouteDescription } from '../../../src/direct/contract.js';
import type { PrimaryView } from '../../../src/direct/promotion/contract.js';
import type { InstanceRuntime, ServiceRuntime } from '../../../src/direct/service-runtime.js';
import { type Placement, TargetChooser } from '../../../src/direct/target-chooser.js';
import type { TrustProver } from '../../../src/direct/trust-prover.js';

const NOW = 10_000;
const MAX_STALENESS_MS = 2500;
const ROUTE: RouteDescription = {
  ...{ name: 'orders', database: 'orders', service: 'ledger', consistency: 'bounded-staleness' },
  ...{ maxStalenessMs: MAX_STALENESS_MS, timeoutMs: 1000, targetLatencyMs: 200, priority: 1 },
};

/** The position that a read needs whose bound is 2.5 s, of samples of these ages. */
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
    session: { values: new Map(), lastWritten: undefined },
  } as unknown as Placement;
  return chooser.choose(placement, new Set())?.after?.lsn;
}

test('a read may use a position almost as old as its bound', () => {
  assert.is(requiredOf([2600, 2350, 100]), 2n);
});

test('a read never needs less than what its bound asks for, with a margin for the way', () => {
  assert.is(requiredOf([2600, 2450, 100]), 3n);
});

test.run();
