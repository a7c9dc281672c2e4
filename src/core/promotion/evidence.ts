/**
 * The second source of trust in a primary, for when the lease has lapsed because the store is away: a
 * round of questions to every member of the group proves something of what began before it was sent.
 *
 * - A read: that no later primary had acknowledged a commit. One that had would have given its term
 *   to as many replicas as a commit needs, so as many members may be left without an answer; none if the list of
 *   members may be old, since one that it lacks has no answer either.
 * - The passing on of a commit's acknowledgement: that there was no later primary at all, and none about to be made
 *   without the commit, see `commit-verdict.ts`; each member has to answer, or to be gone.
 *
 * `core/statements/primary-evidence.ts` proves less for less: positions alone, without a slot.
 */
import { laterPosition, type Position } from '../position.js';
import { judgeCommits, leadsAfter, type MemberAnswers, type TermRound } from './commit-verdict.js';

export type { RoundAnswer, TermRound } from './commit-verdict.js';

/** What a primary is trusted for. */
export type TrustedUse = 'read' | 'commit';

/** True if the round proves that the primary could be trusted when it was sent. */
export function provesPrimary(round: TermRound, use: TrustedUse): boolean {
  return use === 'read' ? provesForReads(round) : judgeCommits(round) === 'safe';
}

function provesForReads(round: TermRound): boolean {
  const { primary, answers, syncReplicas, areMembersCurrent = true } = round;
  const leader = answers.get(primary);
  if (typeof leader !== 'object' || leader.role !== 'primary') return false;
  let unanswered = 0;
  for (const [id, answer] of answers) {
    if (id === primary) continue;
    if (typeof answer === 'string') unanswered += 1;
    else if (leadsAfter(answer, leader)) return false;
  }
  return unanswered <= (areMembersCurrent ? syncReplicas : 0);
}

/**
 * The position that every commit acknowledged before the round was sent is at or before; undefined if too few
 * members told. Such a commit stands on its primary and on `syncReplicas` more: with no more members than that
 * silent, one that has it answered. What calls itself primary counts as silent: its log may not be the group's. Its
 * position counts all the same, since it can only be too high: with it a commit is seen that a replica alone has which
 * has just joined and which nobody knows.
 */
export function acknowledgedPosition(
  answers: MemberAnswers,
  syncReplicas: number,
): Position | undefined {
  let position: Position | undefined;
  let silent = 0;
  for (const answer of answers.values()) {
    const isReplica = typeof answer === 'object' && answer.role === 'replica';
    if (!isReplica) silent += 1;
    if (typeof answer === 'string') continue;
    position = laterPosition(position ?? answer.received, answer.received);
  }
  return silent <= syncReplicas ? position : undefined;
}
