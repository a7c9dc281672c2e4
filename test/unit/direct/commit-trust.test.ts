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
const DONE = {
  type: 'answered',
  answer: { payload: '', state: 'idle', position: POSITION, error: undefined },
} as unknown as StatementOutcome;

/** Keeps the process alive until a timeout expires. */
const keepAlive = setInterval(() => {}, 1000);
test.after(() => clearInterval(keepAlive));

interface Said {
  /** The instance that the lease confirms as primary. */
  readonly trusted?: string;
  readonly ahead?: CommitVerdict;
  readonly commits?: CommitVerdict;
  readonly positions?: Verdict;
  readonly answers?: ProofRound['answers'][];
}

function trust({ trusted, ahead, commits, positions = 'unknown', answers = [] }: Said) {
  const asked: unknown[] = [];
  let time = 0;
  const nextAnswers = () => (answers.length > 1 ? answers.shift() : answers[0]) ?? [];
  const view = {
    mayTrustPrimary: (_service: string, _now: number, instance?: string) => instance === trusted,
    judgeWrite: () => Promise.resolve(ahead),
    judgeCommits: (...question: unknown[]) => {
      asked.push(question);
      return Promise.resolve(commits);
    },
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
  return { commits: new CommitTrust({ view, prover, now }), asked };
}

function codeOf(outcome: StatementOutcome): string {
  return outcome.type === 'refused' ? outcome.refusal.code : 'done';
}

test('with the lease nobody is asked', async () => {
  const { commits, asked } = trust({ trusted: PRIMARY.id, ahead: 'held', commits: 'held' });
  assert.ok(await commits.maySend(SERVICE, PRIMARY));
  assert.is(await commits.confirm(SERVICE, PRIMARY, DONE), DONE);
  assert.equal(asked, []);
});

test('a write is withheld where members do not vouch for it, and told so in its steps', async () => {
  for (const ahead of ['held', 'deposed', 'unknown'] as const) {
    const trace = new RequestTrace(0, () => 0);
    assert.not(await trust({ ahead }).commits.maySend(SERVICE, PRIMARY, trace));
    assert.equal(
      trace.steps.map((step) => ({ ...step })),
      [{ step: 'write-withheld', instance: PRIMARY.id, verdict: ahead, atMs: 0 }],
    );
  }
});

test('a write goes where all members vouch for it', async () => {
  assert.ok(await trust({ ahead: 'safe' }).commits.maySend(SERVICE, PRIMARY));
});

test('a commit that the next primary may lack is told as in doubt', async () => {
  for (const commits of ['held', 'deposed', 'unknown'] as const) {
    const { commits: asking, asked } = trust({ commits });
    assert.is(codeOf(await asking.confirm(SERVICE, PRIMARY, DONE)), 'in-doubt');
    assert.equal(asked, [[SERVICE.name, PRIMARY.id, POSITION]]);
  }
});

test('what another instance than the present primary acknowledged is asked about too', async () => {
  const { commits } = trust({ trusted: 'successor', commits: 'deposed' });
  assert.is(codeOf(await commits.confirm(SERVICE, PRIMARY, DONE)), 'in-doubt');
});

/** Positions that the other members report in each round; the last round repeats. */
function told(...rounds: readonly (readonly (bigint | undefined)[])[]) {
  return rounds.map((others) => [
    { instanceId: PRIMARY.id, position: POSITION },
    ...others.map((lsn, index) => ({
      instanceId: `other-${index}`,
      position: lsn === undefined ? undefined : { timeline: POSITION.timeline, lsn },
    })),
  ]);
}

test('where only positions can be asked for, a commit is told once every other member has it', async () => {
  const { commits } = trust({ answers: told([9n, 8n], [9n, 9n]) });
  assert.is(await commits.confirm(SERVICE, PRIMARY, DONE), DONE);
});

test('where only positions can be asked for, one that a member lacks for long is in doubt', async () => {
  for (const answers of [told([9n, 8n]), told([9n, undefined])]) {
    const { commits } = trust({ answers });
    assert.is(codeOf(await commits.confirm(SERVICE, PRIMARY, DONE)), 'in-doubt');
  }
  const { commits } = trust({ positions: 'deposed', answers: told([9n, 9n]) });
  assert.is(codeOf(await commits.confirm(SERVICE, PRIMARY, DONE)), 'in-doubt');
});

test('where only positions can be asked for, a write goes where they prove the primary', async () => {
  assert.ok(await trust({ positions: 'proven' }).commits.maySend(SERVICE, PRIMARY));
  assert.not(await trust({ positions: 'unknown' }).commits.maySend(SERVICE, PRIMARY));
});

test.run();
