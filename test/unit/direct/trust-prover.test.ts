/** Proofs of a primary by a node that does not know the primary's term. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { InstanceRuntime, ServiceRuntime } from '../../../src/direct/service-runtime.js';
import { TrustProver } from '../../../src/direct/trust-prover.js';
import type { StatementWire } from '../../../src/direct/wire.js';

const PRIMARY_ID = 'i-1';
const NOW = 1000;

/** A service whose primary is known only from its record, as after a start without a registration. */
function serviceOfUnknownTerm(term?: number): ServiceRuntime {
  const primary = { id: PRIMARY_ID, pool: { instance: { id: PRIMARY_ID } } } as InstanceRuntime;
  const members = (): InstanceRuntime[] => {
    throw new Error('positions prove nothing without a term');
  };
  const service = {
    name: 'orders',
    primary: () => primary,
    trustedTermOf: () => term,
    members,
  };
  return service as unknown as ServiceRuntime;
}

function proverWith(isConfirmed: boolean, hasBeenPrimary = true) {
  const counters = { proofRounds: 0, proofsFailed: 0 };
  const queriedIds: string[] = [];
  const prover = new TrustProver({
    ...{ wire: {} as StatementWire, now: () => NOW, counters },
    hasBeenPrimary: () => hasBeenPrimary,
    confirmPrimary: async (_service, instanceId) => {
      queriedIds.push(instanceId);
      return isConfirmed;
    },
  });
  return { prover, counters, queriedIds };
}

test('a primary of unknown term is proven by the roles that the members report', async () => {
  const service = serviceOfUnknownTerm();
  const { prover, queriedIds } = proverWith(true);
  assert.ok(await prover.prove(service));
  assert.equal(queriedIds, [PRIMARY_ID]);
  assert.ok(prover.covers(service, PRIMARY_ID, NOW));
  assert.not(prover.covers(service, PRIMARY_ID, NOW + 1));
});

test('positions do not prove a primary whose incarnation has not reported itself as primary', async () => {
  const service = serviceOfUnknownTerm(3);
  const { prover, queriedIds } = proverWith(true, false);
  assert.ok(await prover.prove(service));
  assert.equal(queriedIds, [PRIMARY_ID]);
});

test('a primary that the members do not confirm is not proven', async () => {
  const service = serviceOfUnknownTerm();
  const { prover, counters } = proverWith(false);
  assert.is(await prover.examine(service), 'unknown');
  assert.is(counters.proofsFailed, 1);
  assert.not(prover.covers(service, PRIMARY_ID, NOW));
});

test.run();
