/**
 * Guards against a group whose primary is never replaced because its instances register their incarnation. The members
 * as the leader writes them and as it reads them back differ in the order of their fields. If texts are compared, the
 * leader writes the same members without end, and every write of a change fails, since the handover record has changed.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  handoverKeyOf,
  isSameRecord,
  membersKeyOf,
  parseMembersRecord,
} from '../../src/core/promotion/records.js';
import { Steps } from '../support/promotion/steps.js';

const SEEDS = [1, 2, 3, 4, 5];
const IDLE_MS = 5000;

function createSteps(seed: number): Steps {
  return new Steps(seed, [], { hasIncarnations: true });
}

test('a primary that crashes for good is replaced where registrations contain the incarnation', () => {
  for (const seed of SEEDS) {
    const steps = createSteps(seed);
    const { group } = steps.simulation;
    const { primary } = group;
    group.crash(primary);
    steps.untilReplaced(primary, steps.leader);
    assert.equal(steps.simulation.violations, []);
  }
});

test('a leader writes the members of an unchanged group once', () => {
  for (const seed of SEEDS) {
    const { simulation } = createSteps(seed);
    const { service } = simulation.group;
    const revisions = (): (number | undefined)[] =>
      [handoverKeyOf(service), membersKeyOf(service)].map(
        (key) => simulation.store.entries.get(key)?.modRevision,
      );
    const before = revisions();
    simulation.run(IDLE_MS);
    assert.equal(revisions(), before);
  }
});

test('records are the same whatever the order of their fields, and whatever fields a later version adds', () => {
  const fields = { id: 'i-1@100', lifeOf: 'i-1', service: 's', host: '10.0.0.1', port: 80 };
  const others = { zone: 'a', slots: 3, draining: false, role: 'replica' };
  const textOf = (member: object): string => JSON.stringify({ members: [member], departed: [] });
  const first = textOf({ ...fields, ...others });
  const isSame = (second: string): boolean => isSameRecord(first, second, parseMembersRecord);
  assert.ok(isSame(textOf({ ...others, ...fields })));
  assert.ok(isSame(textOf({ ...others, ...fields, weight: 2 })));
  assert.not(isSame(textOf({ ...fields, ...others, draining: true })));
  assert.not(isSame(textOf({ ...fields, ...others, id: 'i-1@200' })));
  assert.not(isSame('not a record'));
  assert.not(isSameRecord(undefined, first, parseMembersRecord));
  assert.ok(isSameRecord(undefined, undefined, parseMembersRecord));
});

test.run();
