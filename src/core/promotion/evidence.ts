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
import {
  contradictsPrimary,
  judgeCommits,
  type MemberResponses,
  type QueryRound,
} from './commit-verdict.js';

export type { MemberResponse, QueryRound } from './commit-verdict.js';

/** What a primary is trusted for. */
export type TrustedUse = 'read' | 'commit';

/** True if the round proves that the primary could be trusted when it was sent. */
export function provesPrimary(round: QueryRound, use: TrustedUse): boolean {
  return use === 'read' ? provesPrimaryForReads(round) : judgeCommits(round) === 'safe';
}

function provesPrimaryForReads(round: QueryRound): boolean {
  const { primary, responses, syncReplicas, areMembersCurrent = true } = round;
  const primaryStatus = responses.get(primary);
  if (typeof primaryStatus !== 'object' || primaryStatus.role !== 'primary') return false;
  let unansweredCount = 0;
  for (const [id, response] of responses) {
    if (id === primary) continue;
    if (typeof response === 'string') unansweredCount += 1;
    else if (contradictsPrimary(response, primaryStatus)) return false;
  }
  return unansweredCount <= (areMembersCurrent ? syncReplicas : 0);
}

/**
 * The position that every commit acknowledged before the round was sent is at or before; undefined if too few
 * members told. Such a commit stands on its primary and on `syncReplicas` more: with no more members than that
 * silent, one that has it answered. What calls itself primary counts as silent: its log may not be the group's. Its
 * position counts all the same, since it can only be too high: with it a commit is seen that a replica alone has which
 * has just joined and which nobody knows.
 */
export function acknowledgedPosition(
  responses: MemberResponses,
  syncReplicas: number,
): Position | undefined {
  let position: Position | undefined;
  let silentCount = 0;
  for (const response of responses.values()) {
    const isReplica = typeof response === 'object' && response.role === 'replica';
    if (!isReplica) silentCount += 1;
    if (typeof response === 'string') continue;
    position = laterPosition(position ?? response.received, response.received);
  }
  return silentCount <= syncReplicas ? position : undefined;
}
