/**
 * Confirms a primary without a lease, for when the lease has expired because the store is unreachable. A round, one
 * query to every member of the group, proves something about operations that began before it was sent:
 *
 * - For a read, that no later primary had acknowledged a commit. A later primary that had would have passed its term to
 *   as many replicas as a commit needs. So up to that many members may fail to respond, but none if the member list
 *   may be outdated, since a member missing from it does not respond either.
 * - For relaying a commit's acknowledgement, that there was no later primary at all and none about to be promoted
 *   without the commit, see `commit-verdict.ts`. Each member has to respond, or nothing may listen at its address.
 *
 * `core/statements/primary-evidence.ts` is cheaper and proves less: it compares positions only and takes no slot.
 */
import { laterPosition, type Position } from '../position.js';
import {
  contradictsPrimary,
  judgeCommits,
  type MemberResponses,
  type QueryRound,
} from './commit-verdict.js';

export type { MemberResponse, QueryRound } from './commit-verdict.js';

/** Operation for which a primary has to be confirmed. */
export type TrustedUse = 'read' | 'commit';

/** Whether the round proves that the primary could be relied on when the round was sent. */
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
 * Position that no commit acknowledged before the round was sent exceeds, provided that all members at that time were
 * queried (see `member-list-proof.ts`); undefined if too few responded. Such a commit is on its primary and on
 * `syncReplicas` replicas: if at most `syncReplicas` members fail to respond, at least one member that has it responded. A
 * member that reports itself as primary counts as unresponsive, because its log may not be the group's. Its position is included all the same, since that can only make the result too high, and
 * it covers a commit whose only other copy is on a replica that has just joined and is not known yet.
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
