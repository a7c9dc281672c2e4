/**
 * What callers saw: a service took no writes any more, for good. In order: the primary is suspected and demoted; the old primary itself is named as
 * the candidate, since no replica can be shown to have all; it ends, and another life has its address and its log; from then on
 * each leader calls for the one that is gone, some five times a second, and hands it on to the next.
 *
 * Cause: a candidate counted as certain by its log alone, which is known for good once an old primary was demoted, whether or not it
 * runs. Evidence: 174 lines "promotion called" for that service, all but a few `refused` within 8 ms, until the end of the model.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { PromotionMechanism } from '../../src/core/promotion/contract.js';
import {
  GONE_CANDIDATE_KINDS,
  isClean,
  LATER_MECHANISMS,
  MIXED_FAULT_KINDS,
  type MixOutcome,
  playMix,
} from '../support/promotion/mix.js';

/** `MIX_RUNS=1 MIX_SEED=701138 node dist/test/property/promotion-mix.test.js` */
const SEED = 701138;
/** Calls for the service's candidate in that seed: 174 before, and the change was never over. */
const MOST_CALLS = 30;

function played(disabled: readonly PromotionMechanism[] = []): MixOutcome {
  return playMix(SEED, MIXED_FAULT_KINDS, disabled);
}

test('a service whose named candidate is gone gets another one', () => {
  for (const { violations, stopped, story } of [played(), played(LATER_MECHANISMS)]) {
    assert.equal([violations, stopped], [[], []]);
    const calls = story.match(/promotion called \{"service":"group-0"/g) ?? [];
    assert.ok(calls.length <= MOST_CALLS, `${calls.length} calls`);
  }
});

test('without it the service has no primary for good', () => {
  const { stopped } = played(['gone-candidates', ...LATER_MECHANISMS]);
  assert.equal(stopped, ['group-0']);
});

test('candidates that end amid their calls neither stop a service nor lead beside another', () => {
  const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
  const found = seeds.map((seed) => playMix(seed, GONE_CANDIDATE_KINDS));
  assert.equal(
    found.filter((outcome) => !isClean(outcome)).map(({ seed }) => seed),
    [],
  );
});

test.run();
