/**
 * Guards against a service without writes while its primary is cut off from its replicas. The answer to a commit may name
 * a position that no replica has received. The replicas are then withheld until their registrations prove them; the old
 * primary, which has that position, must not be promoted again meanwhile, since the change would never end.
 */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { LONG_MS, Steps } from '../support/promotion/steps.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const RECOVERY_MS = 8000;

test('a primary that is cut off from its replicas is replaced by one that lacks a position beyond its last commit', () => {
  for (const seed of SEEDS) {
    const steps = new Steps(seed, [], { hasIncarnations: true });
    const { simulation } = steps;
    const { group, network, nodes } = simulation;
    const { primary } = group;
    const beyond = { timeline: primary.term, lsn: BigInt(primary.log.length + 1000) };
    for (const node of nodes) node.machine?.recordCommit(group.service, { logEnd: beyond });
    for (const { address } of group.instances) {
      if (address !== primary.address) network.cut(primary.address, address, LONG_MS);
    }
    const { promotions } = group;
    steps.untilReplaced(primary, steps.leader);
    assert.is(group.promotions, promotions + 1, `seed ${seed}: promotions`);
    const { commits } = group;
    simulation.run(RECOVERY_MS);
    assert.ok(group.commits > commits, `seed ${seed}: writes`);
  }
});

test.run();
