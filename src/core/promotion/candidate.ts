/**
 * Which instance may be promoted without losing an acknowledged commit, and which one is best. A
 * commit is acknowledged once `syncReplicas` replicas have received it, and logs are prefixes of one
 * another, so there are three proofs that an instance has every acknowledged commit:
 *
 * - the old primary was demoted and told the end of its log, and the instance has received as much;
 * - the old primary has ended and its log has gone to its successor at the same address, which is held, and the
 *   instance has received as much as that one;
 * - so few replicas are not held that they can't be all that have received a commit, and no held one
 *   has received more than the instance.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import { comparePositions, type Position } from '../position.js';

/** What a member of the group has answered, recently enough to count. */
export interface MemberFinding {
  readonly entry: InstanceEntry;
  /** Last position received; undefined if it has not answered. */
  readonly received: Position | undefined;
  /** It receives nothing more from the old primary: held, or demoted. */
  readonly stopped: boolean;
  /** Its entry is in the store. */
  readonly present: boolean;
  /** This node reaches it. */
  readonly isReached: boolean;
}

export interface CandidateQuestion {
  /** All members but the old primary. */
  readonly replicas: readonly MemberFinding[];
  /** The old primary; `stopped` if it was demoted. */
  readonly from: MemberFinding | undefined;
  /** The member that has the old primary's address and log, if that one was replaced in place. */
  readonly successor?: MemberFinding | undefined;
  readonly syncReplicas: number;
  /** Takes one that is leaving, or the old primary itself, if there is no better one. */
  readonly acceptAny: boolean;
  /** Takes any that has answered: a test switched the proof off. */
  readonly withoutProof: boolean;
}

/** The instance to promote, if one is certain. */
export function chooseCandidate(question: CandidateQuestion): InstanceEntry | undefined {
  const certain = certainMembers(question);
  const eligible = certain
    .filter(({ isReached }) => isReached)
    .filter((member) => question.acceptAny || isGood(member, question.from));
  const [best] = eligible.sort((left, right) => compareCandidates(left, right, question.from));
  return best?.entry;
}

/** Members that surely have every acknowledged commit. */
export function certainMembers(question: CandidateQuestion): MemberFinding[] {
  const { replicas, from, successor, syncReplicas, acceptAny } = question;
  const answered = replicas.filter(({ received }) => received !== undefined);
  if (question.withoutProof) return answered;
  const certain: MemberFinding[] = [];
  const isFromEnded = from?.stopped === true && from.received !== undefined;
  if (isFromEnded) certain.push(from);
  const ends = [
    isFromEnded ? from.received : undefined,
    successor && endOfInherited(successor, answered),
  ];
  for (const end of ends) {
    if (end !== undefined) certain.push(...answered.filter((member) => reaches(member, end)));
  }
  const held = answered.filter(({ stopped }) => stopped);
  const unknown = replicas.length - held.length;
  // Without synchronous replicas no proof is to be had: the most that is known has to do.
  const provesEnd = syncReplicas === 0 ? unknown === 0 || acceptAny : unknown < syncReplicas;
  if (held.length > 0 && provesEnd) {
    const ends = held.flatMap(({ received }) => received ?? []);
    const end = ends.reduce((left, right) => (comparePositions(left, right) >= 0 ? left : right));
    certain.push(...held.filter((member) => reaches(member, end)));
  }
  return [...new Set(certain)];
}

/**
 * End of the log that a successor in place has from the old primary; undefined while that may still grow, or if the
 * successor lacks what another member has: then it began without the log.
 */
function endOfInherited(
  { received, stopped }: MemberFinding,
  answered: readonly MemberFinding[],
): Position | undefined {
  if (!stopped || received === undefined) return undefined;
  const isBehind = answered.some(
    (member) => member.received !== undefined && !reaches({ received }, member.received),
  );
  return isBehind ? undefined : received;
}

function reaches({ received }: Pick<MemberFinding, 'received'>, end: Position): boolean {
  return received !== undefined && comparePositions(received, end) >= 0;
}

function isGood({ entry, present }: MemberFinding, from: MemberFinding | undefined): boolean {
  return !entry.draining && present && entry.id !== from?.entry.id;
}

function compareCandidates(
  left: MemberFinding,
  right: MemberFinding,
  from: MemberFinding | undefined,
): number {
  const byGoodness = Number(isGood(right, from)) - Number(isGood(left, from));
  if (byGoodness !== 0) return byGoodness;
  if (left.received !== undefined && right.received !== undefined) {
    const byLog = comparePositions(right.received, left.received);
    if (byLog !== 0) return byLog;
  }
  const zone = from?.entry.zone;
  const byZone = Number(right.entry.zone === zone) - Number(left.entry.zone === zone);
  return byZone !== 0 ? byZone : left.entry.id < right.entry.id ? -1 : 1;
}
