/**
 * Guards against a service that takes no more writes because its recorded candidate no longer exists. The old primary
 * is demoted and becomes the candidate itself, since no replica is proven to have every commit. Then it ends, and a new
 * incarnation takes over its address and log. If a candidate is accepted by its log alone, whether or not it runs, each
 * leader keeps calling the promotion of the missing instance, about five times a second, and hands it to its successor.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import {
  GONE_CANDIDATE_MIX,
  isClean,
  LATER_MECHANISMS,
  MIXED_FAULT_KINDS,
  type MixOutcome,
  simulateMixedFaults,
} from '../support/promotion/mix.js';

/** To replay: `MIX_RUNS=1 MIX_SEED=701138 node dist/test/property/promotion-mix.test.js`. */
const SEED = 701138;
/** Leaders that never drop a missing candidate make 174 calls for it in this seed, and the change never ends. */
const MAX_CALLS = 30;

function playSeed(disabledMechanisms: readonly PromotionMechanism[] = []): MixOutcome {
  return simulateMixedFaults(SEED, MIXED_FAULT_KINDS, disabledMechanisms);
}

test('a service whose recorded candidate has ended gets another one', () => {
  for (const { violations, servicesWithoutWrites, eventLog } of [
    playSeed(),
    playSeed(LATER_MECHANISMS),
  ]) {
    assert.equal([violations, servicesWithoutWrites], [[], []]);
    const calls = eventLog.match(/promotion called \{"service":"group-0"/g) ?? [];
    assert.ok(calls.length <= MAX_CALLS, `${calls.length} calls`);
  }
});

test('without the mechanism the service never has a primary again', () => {
  const { servicesWithoutWrites } = playSeed(['gone-candidates', ...LATER_MECHANISMS]);
  assert.equal(servicesWithoutWrites, ['group-0']);
});

test('candidates that end during their promotion calls stop no service and cause no second primary', () => {
  const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
  const found = seeds.map((seed) => simulateMixedFaults(seed, GONE_CANDIDATE_MIX));
  assert.equal(
    found.filter((outcome) => !isClean(outcome)).map(({ seed }) => seed),
    [],
  );
});

test.run();
