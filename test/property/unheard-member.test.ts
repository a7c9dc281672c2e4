/**
 * What a caller saw: a read that misses a commit which was acknowledged 26 ms before it began. Not traced yet. As far as its story shows: a node
 * is cut off from the store; meanwhile a member that had crashed comes back at its address under another id; the
 * node reads at a replica which receives nothing, and does not know of the member that does.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { playMix } from '../support/promotion/mix.js';

/** `MIX_RUNS=1 MIX_SEED=712465 node dist/test/property/promotion-mix.test.js`, found among 710000 to 714999 */
const SEED = 712465;

test('a node reads at no replica by what members tell that it has not heard of', () => {
  const { violations, stopped } = playMix(SEED);
  assert.equal([violations, stopped], [[], []]);
});

test.run();
