/** A new configuration revision of a member is not a change of the fleet. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { MembershipNetwork } from '../support/membership-network.js';

const SEED = 5;

test('a member with a new revision is distinguished from one whose state changed', () => {
  const network = new MembershipNetwork(SEED);
  network.startFleet(6, 2);
  assert.ok(network.run(60_000, () => network.isConverged()));
  for (const node of network.running()) node.changes.length = 0;
  const changed = network.node('n1');
  network.dispatch(changed, { type: 'revision-changed', configurationRevision: 7 });
  const others = network.running().filter((node) => node !== changed);
  const isKnown = (): boolean =>
    others.every((node) => node.machine.member('n1')?.configurationRevision === 7);
  assert.ok(network.run(60_000, isKnown));
  for (const node of others) assert.equal(node.changes, ['revision-changed n1']);
});

test.run();
