/**
 * A primary that is cut off and still believes that it is the primary: no acknowledged write is lost, no
 * keyed write runs twice, no write reported as not run has run, and every caller gets a final response.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkAcknowledgements } from '../../../bench/checkers/acknowledgements.js';
import type { Cluster } from '../../../bench/harness/cluster.js';
import {
  nextTimelineOf,
  runScenario,
  type Scenario,
  type Target,
  WRITES_AFTER,
} from '../../support/failover-scenario.js';
import { assertNoViolations, startLoadedCluster } from '../../support/loaded-cluster.js';

const test = suite<{ cluster: Cluster }>('primary cut off');

test.before(async (context) => {
  context.cluster = await startLoadedCluster({ seed: 1 });
});

test.after(async ({ cluster }) => {
  await cluster.stop();
});

/** Cuts the primary off from its peers only; proxies still reach it, and it believes that it is the primary. */
async function cutFromPeers(target: Target, directions: 'both' | 'in' | 'out'): Promise<void> {
  const { group, primary, progress } = target;
  const timeline = await nextTimelineOf(target);
  const peers = group.instances.filter(({ name }) => name !== primary.name);
  const cutPeers = peers.map(({ name }) => ({ name, direction: directions }));
  await group.setFaults(primary.name, { cutPeers });
  await group.waitForPrimary(timeline);
  await progress.waitForWrites(WRITES_AFTER);
  await group.setFaults(primary.name, { cutPeers: [] });
}

const SCENARIOS: readonly Scenario[] = [
  {
    name: 'cut off from peers and proxies',
    seed: 101,
    fault: async (target) => {
      const { cluster, group, primary, progress } = target;
      const timeline = await nextTimelineOf(target);
      await Promise.all([group.isolate(primary.name, true), cluster.faults.cut(primary.name)]);
      await group.waitForPrimary(timeline);
      await progress.waitForWrites(WRITES_AFTER);
      await Promise.all([group.isolate(primary.name, false), cluster.faults.heal(primary.name)]);
    },
  },
  {
    name: 'cut off from its peers only, still reachable by proxies',
    seed: 102,
    fault: (target) => cutFromPeers(target, 'both'),
  },
  {
    name: 'unable to send heartbeats, but still receives from its peers',
    seed: 103,
    fault: (target) => cutFromPeers(target, 'out'),
  },
  {
    name: 'the only instance that proxies still reach, cut off from its peers',
    seed: 110,
    fault: async (target) => {
      const { cluster, group, primary, progress } = target;
      const timeline = await nextTimelineOf(target);
      const others = group.instances.filter(({ name }) => name !== primary.name);
      await Promise.all(others.map(({ name }) => cluster.faults.cut(name)));
      await group.isolate(primary.name, true);
      await group.waitForPrimary(timeline);
      await progress.waitForRecords(
        WRITES_AFTER,
        'writes ended',
        ({ access }) => access === 'write',
      );
      await Promise.all(others.map(({ name }) => cluster.faults.heal(name)));
      await group.isolate(primary.name, false);
      await progress.waitForWrites(WRITES_AFTER);
    },
  },
];

for (const scenario of SCENARIOS) {
  test(`no promise is broken while a primary is ${scenario.name}`, async ({ cluster }) => {
    const history = await runScenario(cluster, scenario);
    assertNoViolations(history, scenario.killedProxies);
  });
}

test('without confirmation, acknowledged writes on a primary cut off from its peers are lost', async () => {
  const proxyFlags = ['--test-policy=without-confirmation'];
  const cluster = await startLoadedCluster({ seed: 2, proxyFlags });
  try {
    const history = await runScenario(cluster, {
      name: 'cut off from its peers only, without confirmation',
      seed: 102,
      fault: (target) => cutFromPeers(target, 'both'),
    });
    const [lost] = checkAcknowledgements(history);
    assert.is(lost?.promise, 'noAckByReplacedPrimary');
  } finally {
    await cluster.stop();
  }
});

test.run();
