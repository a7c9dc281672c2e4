/** Judging commits by the members' responses, at a primary that no lease confirms. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type CommitVerdict,
  isSafe,
  judgeCommits,
  type MemberResponse,
} from '../../src/core/promotion/commit-verdict.js';
import type { InstanceStatus } from '../../src/direct/contract.js';

const PRIMARY = 'primary';
const TERM = 4;

function status(changes: Partial<InstanceStatus> = {}): InstanceStatus {
  const rest = { heldTerm: 0, lagMs: 0, busySlots: 0, connections: 0 };
  const received = { timeline: TERM, lsn: 10n };
  return { role: 'replica', term: TERM, received, ...rest, ...changes };
}

const AS_PRIMARY = status({ role: 'primary' });
const HELD = status({ heldTerm: TERM + 1 });

function verdict(
  others: readonly MemberResponse[],
  lsn?: bigint,
  leader: MemberResponse = AS_PRIMARY,
) {
  const answers = new Map<string, MemberResponse>([
    [PRIMARY, leader],
    ...others.map((answer, index) => [`other-${index}`, answer] as const),
  ]);
  const position = lsn === undefined ? undefined : { timeline: TERM, lsn };
  return judgeCommits({ primary: PRIMARY, syncReplicas: 1, responses: answers }, position);
}

test('commits are safe while every member follows the primary or is gone', () => {
  assert.is(verdict([status(), status()]), 'safe');
  assert.is(verdict([status(), 'refused']), 'safe');
});

test('a held replica may be promoted without the commit, whatever the other members respond', () => {
  assert.is(verdict([status(), HELD]), 'held');
  assert.is(verdict([HELD, 'none']), 'held');
  assert.is(verdict([HELD, 'refused'], 11n), 'held');
});

test('a held replica that has received the commit does not endanger it', () => {
  assert.is(verdict([HELD, status()], 10n), 'safe');
});

test('a hold for an earlier primary change than that of the present primary is ignored', () => {
  assert.is(verdict([status({ heldTerm: TERM }), status()]), 'safe');
});

test('another primary, or a later term at any member, proves that the primary was replaced', () => {
  assert.is(verdict([AS_PRIMARY, status()]), 'deposed');
  assert.is(verdict([status({ term: TERM + 1 }), HELD]), 'deposed');
  assert.is(verdict([status({ received: { timeline: TERM + 1, lsn: 1n } })]), 'deposed');
  assert.is(verdict([status()], undefined, status()), 'deposed');
});

test('the verdict is unknown if a member is unresponsive, or if too many members are gone for a commit', () => {
  assert.is(verdict([status(), 'none']), 'unknown');
  assert.is(verdict(['refused', 'refused']), 'unknown');
  assert.is(verdict([status()], undefined, 'none'), 'unknown');
});

test('only the verdict safe lets a write be sent and a commit be reported', () => {
  const verdicts: readonly CommitVerdict[] = ['safe', 'unknown', 'held', 'deposed'];
  assert.equal(verdicts.filter(isSafe), ['safe']);
});

test.run();
