/**
 * Whether a commit may be asked for, and its acknowledgement passed on, by a node whose lease does not vouch for the
 * primary. No promotion waits for such a node, so the members themselves are asked: a later primary tells of itself,
 * and a replica that is held may be promoted at any moment with the log that it had when that began.
 */
import type { InstanceStatus } from '../../direct/contract.js';
import { comparePositions, type Position } from '../position.js';
import type { Milliseconds } from '../units.js';

/** `refused`: nothing listens there. `none`: no answer, or none that tells. */
export type MemberResponse = InstanceStatus | 'refused' | 'none';

/** Of every member that is known, the primary included, by id. */
export type MemberResponses = ReadonlyMap<string, MemberResponse>;

/** One finished round. */
export interface QueryRound {
  readonly service: string;
  /** The instance that is taken for the primary. */
  readonly primary: string;
  readonly sentAt: Milliseconds;
  readonly syncReplicas: number;
  readonly responses: MemberResponses;
  /** Whoever joined would be known: the store, or a peer, has told of the members lately. By default it has. */
  readonly areMembersCurrent?: boolean | undefined;
}

/**
 * What a round says of commits at a primary. `safe`: whichever member leads next has them. `deposed`: another
 * leads, or the primary does no more. `held`: a replica is held that may be promoted without them. `unknown`: a member
 * that might be either did not answer, or more members are gone than a commit needs.
 */
export type CommitVerdict = 'safe' | 'deposed' | 'held' | 'unknown';

/**
 * The verdict on what the primary had acknowledged when the round was sent, or will for what is sent to it next. With
 * the position of a commit, a held replica that has received it does no harm.
 */
export function judgeCommits(
  { primary, responses, syncReplicas }: Omit<QueryRound, 'service' | 'sentAt'>,
  position?: Position,
): CommitVerdict {
  const primaryStatus = responses.get(primary);
  if (typeof primaryStatus !== 'object') return 'unknown';
  if (primaryStatus.role !== 'primary') return 'deposed';
  let isAnyHeld = false;
  let silentCount = 0;
  let refusedCount = 0;
  for (const [id, response] of responses) {
    if (id === primary) continue;
    if (response === 'none') silentCount += 1;
    else if (response === 'refused') refusedCount += 1;
    else if (contradictsPrimary(response, primaryStatus)) return 'deposed';
    else if (response.heldTerm > primaryStatus.term && !hasReceived(response, position))
      isAnyHeld = true;
  }
  if (isAnyHeld) return 'held';
  return silentCount > 0 || refusedCount > syncReplicas ? 'unknown' : 'safe';
}

/**
 * The term for which a replica is held that may be promoted in place of the primary; undefined if none is. Whoever
 * learns of it and reaches the primary demotes it for that term: the leader of the change may not reach it, and what was
 * sent to it before may be acknowledged yet.
 */
export function termOfHeldReplica({
  primary,
  responses,
}: Pick<QueryRound, 'primary' | 'responses'>): number | undefined {
  const primaryStatus = responses.get(primary);
  if (typeof primaryStatus !== 'object' || primaryStatus.role !== 'primary') return undefined;
  const members = [...responses.values()].filter((answer) => typeof answer === 'object');
  const heldTerm = Math.max(...members.map((member) => member.heldTerm));
  return heldTerm > primaryStatus.term ? heldTerm : undefined;
}

/** The member leads too, or follows a later primary than this one. */
export function contradictsPrimary(member: InstanceStatus, primary: InstanceStatus): boolean {
  return member.role === 'primary' || termOf(member) > primary.term;
}

/**
 * Only what will be safe is sent, and told as done: a caller is better refused at once, and served by a node that has a
 * lease, than left in doubt. With `unknown` let through, callers were told of commits that were then lost in 19 of 400
 * seeds of replicas that join in a change, and of commits of a deposed primary in 9 more.
 */
export function isSafe(verdict: CommitVerdict): boolean {
  return verdict === 'safe';
}

function termOf({ term, received }: InstanceStatus): number {
  return Math.max(term, received.timeline);
}

function hasReceived({ received }: InstanceStatus, position: Position | undefined): boolean {
  return position !== undefined && comparePositions(received, position) >= 0;
}
