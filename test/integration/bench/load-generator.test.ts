import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkHistory } from '../../../bench/checkers/index.js';
import { DEPLOYMENTS, type Deployment, type DeploymentName } from '../../../bench/deployments.js';
import {
  type DatabaseGroup,
  type DatabaseInstanceHandle,
  startDatabaseGroup,
} from '../../../bench/harness/database-group.js';
import { collectCommits, type InstanceLog } from '../../../bench/history/collect.js';
import { EMPTY_HISTORY, type History } from '../../../bench/history/model.js';
import { prepareDatabase } from '../../../bench/load/database-setup.js';
import { computeFigures } from '../../../bench/load/figures.js';
import { type LoadResult, runLoad } from '../../../bench/load/generator.js';

const SEED = 7;
const GROUP = 'group';
/** Long, so that a busy machine causes no election during a test. */
const ELECTION_TIMEOUT_MS = 60_000;
const CREDENTIALS = { user: 'app', password: '', database: 'app' };

async function prepare(
  group: DatabaseGroup,
  deployment: Deployment,
): Promise<DatabaseInstanceHandle> {
  const primary = await group.waitForPrimary();
  const { host, pgPort: port } = primary;
  await prepareDatabase({ host, port }, CREDENTIALS, deployment);
  return primary;
}

async function readLogs(group: DatabaseGroup): Promise<InstanceLog[]> {
  return Promise.all(
    group.instances.map(async ({ name }) => {
      const [state, log] = await Promise.all([group.state(name), group.commitLog(name)]);
      const isPrimary = state.role === 'primary';
      return { instance: name, isPrimary, timeline: state.timeline, events: state.history, ...log };
    }),
  );
}

/** Runs a deployment's load directly against these instances instead of proxies. */
async function runAgainst(
  instances: readonly DatabaseInstanceHandle[],
  group: DatabaseGroup,
  deployment: Deployment,
): Promise<{ load: LoadResult; history: History }> {
  const load = await runLoad({
    deployment,
    seed: SEED,
    durationMs: 1_500,
    requestsPerSecond: 120,
    sessions: 12,
    proxies: instances.map(({ name, host, pgPort }) => ({ name, host, port: pgPort })),
    credentialsOf: () => CREDENTIALS,
  });
  const commits = collectCommits(GROUP, await readLogs(group));
  const { requests, transactions, endedAt } = load;
  return { load, history: { ...EMPTY_HISTORY, requests, transactions, commits, endedAt } };
}

for (const name of ['bureau', 'trust'] satisfies DeploymentName[]) {
  test(`the ${name} load completes against a primary, and its history has no violation`, async () => {
    const group = await startDatabaseGroup({
      group: GROUP,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
    });
    const deployment: Deployment = { ...DEPLOYMENTS[name], groups: [GROUP] };
    try {
      const primary = await prepare(group, deployment);
      const { load, history } = await runAgainst([primary], group, deployment);
      const violations = checkHistory(history);
      assert.equal(violations, []);
      // On an overloaded machine the generator itself may be too late to send a request; it then has no response.
      const answered = load.requests.filter(({ errorCode }) => errorCode !== 'NOT-SENT');
      const failures = answered.filter(({ outcome }) => outcome !== 'done');
      assert.equal(failures, []);
      const figures = computeFigures({
        deployment,
        seed: SEED,
        policy: 'direct',
        requests: load.requests,
        failures: [],
        violations,
        nonMonotonicReads: 0,
        connectionsOpened: 0,
        endedAt: load.endedAt,
      });
      assert.ok(figures.requests > 100);
      assert.is(figures.replicaReadShare, 0);
      const kinds = deployment.kinds.map(({ kind }) => kind).sort();
      assert.equal(Object.keys(figures.serviceByKind).sort(), kinds);
      const effects = history.requests.filter(({ effectRow }) => effectRow !== undefined);
      assert.ok(effects.length > 10);
      // Proves that the checkers examine these writes: without the commit log each counts as lost.
      const withoutLog = checkHistory({ ...history, commits: [] });
      const lost = withoutLog.filter(({ reason }) => reason === 'acknowledged-write-lost');
      assert.is(lost.length, effects.length);
    } finally {
      await group.stop();
    }
  });
}

test('the checkers find that sessions which move to a lagging replica miss their own writes', async () => {
  const group = await startDatabaseGroup({ group: GROUP, electionTimeoutMs: ELECTION_TIMEOUT_MS });
  const deployment: Deployment = { ...DEPLOYMENTS.trust, groups: [GROUP] };
  try {
    const primary = await prepare(group, deployment);
    const replica = group.instances.find(({ name }) => name !== primary.name);
    assert.ok(replica);
    const { lsn } = await group.state(primary.name);
    await group.waitForState(replica.name, (state) => state.replayed === lsn);
    await group.setFaults(replica.name, { replayLagMs: 60_000 });
    const { load, history } = await runAgainst([primary, replica], group, deployment);
    const promises = new Set(checkHistory(history).map(({ promise }) => promise));
    assert.equal([...promises], ['sessionReadsOwnWrites']);
    assert.ok(load.requests.some(({ servedBy }) => servedBy === 'replica'));
  } finally {
    await group.stop();
  }
});

test.run();
