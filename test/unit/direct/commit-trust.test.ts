/** Outcomes of writes at a node whose lease does not confirm the primary. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { CommitVerdict } from '../../../src/core/promotion/commit-verdict.js';
import { CommitTrust } from '../../../src/direct/commit-trust.js';
import type { PrimaryView } from '../../../src/direct/promotion/contract.js';
import { RequestTrace } from '../../../src/direct/request-trace.js';
import type { InstanceRuntime, ServiceRuntime } from '../../../src/direct/service-runtime.js';
import type { StatementOutcome } from '../../../src/direct/statement-request.js';
import type { ProofRound, Verdict } from '../../../src/direct/trust-prover.js';

const SERVICE = { name: 'orders' } as ServiceRuntime;
const PRIMARY = { id: 'primary' } as InstanceRuntime;
const POSITION = { timeline: 4, lsn: 9n };
const BEFORE = { timeline: 4, lsn: 7n };
const DONE = {
  type: 'answered',
  answer: { payload: '', state: 'idle', position: POSITION, error: undefined },
} as unknown as StatementOutcome;

const REQUEST = { deadline: 1000 };

/** Keeps the process alive until a timeout expires. */
const keepAlive = setInterval(() => {}, 1000);
test.after(() => clearInterval(keepAlive));

interface TrustScenario {
  /** The instance that the lease confirms as primary. */
  readonly trusted?: string;
  readonly ahead?: CommitVerdict;
  readonly commits?: CommitVerdict;
  readonly positions?: Verdict;
  readonly answers?: ProofRound['answers'][];
  /** Whether commits reach the instances that a late promotion call may make primary; true by default. */
  readonly isReplicated?: boolean;
}

function trust({
  trusted,
  ahead,
  commits,
  positions = 'unknown',
  answers = [],
  isReplicated = true,
}: TrustScenario) {
  const queries: unknown[] = [];
  const recorded: unknown[] = [];
  let time = 0;
  const nextAnswers = () => (answers.length > 1 ? answers.shift() : answers[0]) ?? [];
  const view = {
    mayTrustPrimary: (_service: string, _now: number, instance?: string) => instance === trusted,
    judgeWrite: () => Promise.resolve(ahead),
    judgeCommits: (...query: unknown[]) => {
      queries.push(query);
      return Promise.resolve(commits);
    },
    recordCommit: (...commit: unknown[]) => recorded.push(commit),
  } as unknown as PrimaryView;
  const prover = {
    examine: () => Promise.resolve(positions),
    round: () => Promise.resolve({ verdict: positions, answers: nextAnswers() }),
  };
  // Every reading of the clock advances it.
  const now = (): number => {
    time += 50;
    return time;
  };
  const unsettledLogs = {
    mayConfirm: () => Promise.resolve(isReplicated),
    awaitCommit: () => Promise.resolve(isReplicated),
  };
  return { commits: new CommitTrust({ view, prover, unsettledLogs, now }), queries, recorded };
}

function codeOf(outcome: StatementOutcome): string {
  return outcome.type === 'refused' ? outcome.refusal.code : 'done';
}

test('while the lease confirms the primary no member is queried', async () => {
  const { commits, queries } = trust({ trusted: PRIMARY.id, ahead: 'held', commits: 'held' });
  assert.ok(await commits.maySend(SERVICE, PRIMARY));
  assert.is(await commits.confirm(SERVICE, PRIMARY, DONE, REQUEST), DONE);
  assert.equal(queries, []);
});

/** Otherwise a call that a partition held up would promote that instance and lose the commit. */
test('a commit that an instance with an unsettled promotion call lacks is in doubt, and no write is sent', async () => {
  for (const scenario of [{ trusted: PRIMARY.id }, { ahead: 'safe', commits: 'safe' }] as const) {
    const { commits, recorded } = trust({ ...scenario, isReplicated: false });
    assert.is(codeOf(await commits.confirm(SERVICE, PRIMARY, DONE, REQUEST)), 'in-doubt');
    assert.not(await commits.maySend(SERVICE, PRIMARY));
    assert.equal(recorded, []);
  }
});

test('commits that are confirmed to their callers are recorded, and no others', async () => {
  for (const [situation, isConfirmed] of [
    [{ trusted: PRIMARY.id }, true],
    [{ commits: 'safe' }, true],
    [{ commits: 'held' }, false],
    [{ commits: 'unknown' }, false],
  ] as const) {
    const { commits, recorded } = trust(situation);
    await commits.confirm(SERVICE, PRIMARY, DONE, { ...REQUEST, logEndBefore: BEFORE });
    assert.equal(
      recorded,
      isConfirmed ? [[SERVICE.name, { logEnd: POSITION, logEndBefore: BEFORE }]] : [],
    );
  }
});

test('a write that the members do not confirm is withheld, and the request trace records the verdict', async () => {
  for (const ahead of ['held', 'deposed', 'unknown'] as const) {
    const trace = new RequestTrace(0, () => 0);
    assert.not(await trust({ ahead }).commits.maySend(SERVICE, PRIMARY, trace));
    assert.equal(
      trace.steps.map((step) => ({ ...step })),
      [{ step: 'write-withheld', instance: PRIMARY.id, verdict: ahead, atMs: 0 }],
    );
  }
});

test('a write that all members confirm is sent', async () => {
  assert.ok(await trust({ ahead: 'safe' }).commits.maySend(SERVICE, PRIMARY));
});

test('a commit that the next primary may lack is reported as in doubt', async () => {
  for (const commits of ['held', 'deposed', 'unknown'] as const) {
    const { commits: withQueries, queries } = trust({ commits });
    assert.is(codeOf(await withQueries.confirm(SERVICE, PRIMARY, DONE, REQUEST)), 'in-doubt');
    assert.equal(queries, [[SERVICE.name, PRIMARY.id, POSITION]]);
  }
});

test('a commit that was acknowledged by another instance than the present primary is checked too', async () => {
  const { commits } = trust({ trusted: 'successor', commits: 'deposed' });
  assert.is(codeOf(await commits.confirm(SERVICE, PRIMARY, DONE, REQUEST)), 'in-doubt');
});

/** Positions that the other members report in each round; the last round repeats. */
function responseRounds(...rounds: readonly (readonly (bigint | undefined)[])[]) {
  return rounds.map((others) => [
    { instanceId: PRIMARY.id, position: POSITION },
    ...others.map((lsn, index) => ({
      instanceId: `other-${index}`,
      position: lsn === undefined ? undefined : { timeline: POSITION.timeline, lsn },
    })),
  ]);
}

test('if only positions can be queried, a commit is reported once every other member has it', async () => {
  const { commits } = trust({ answers: responseRounds([9n, 8n], [9n, 9n]) });
  assert.is(await commits.confirm(SERVICE, PRIMARY, DONE, REQUEST), DONE);
});

test('if only positions can be queried, a commit that a member lacks until the timeout is in doubt', async () => {
  for (const answers of [responseRounds([9n, 8n]), responseRounds([9n, undefined])]) {
    const { commits } = trust({ answers });
    assert.is(codeOf(await commits.confirm(SERVICE, PRIMARY, DONE, REQUEST)), 'in-doubt');
  }
  const { commits } = trust({ positions: 'deposed', answers: responseRounds([9n, 9n]) });
  assert.is(codeOf(await commits.confirm(SERVICE, PRIMARY, DONE, REQUEST)), 'in-doubt');
});

test('if only positions can be queried, a write is sent only if they prove the primary', async () => {
  assert.ok(await trust({ positions: 'proven' }).commits.maySend(SERVICE, PRIMARY));
  assert.not(await trust({ positions: 'unknown' }).commits.maySend(SERVICE, PRIMARY));
});

test.run();
