/**
 * Which instance may be promoted without losing an acknowledged commit, and which one is best. A
 * commit is acknowledged once `syncReplicas` replicas have received it, and logs are prefixes of one
 * another, so there are two proofs that an instance has every acknowledged commit:
 *
 * - the old primary was demoted and told the end of its log, and the instance has received as much;
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
  const { replicas, from, syncReplicas, acceptAny } = question;
  const answered = replicas.filter(({ received }) => received !== undefined);
  if (question.withoutProof) return answered;
  const certain: MemberFinding[] = [];
  if (from?.stopped && from.received !== undefined) {
    const end = from.received;
    certain.push(from, ...answered.filter((member) => reaches(member, end)));
  }
  const held = answered.filter(({ stopped }) => stopped);
  const unknown = replicas.length - held.length;
  // Without synchronous replicas no proof is to be had: the most that is known has to do.
  const provesEnd = syncReplicas === 0 ? unknown === 0 || acceptAny : unknown < syncReplicas;
  if (held.length > 0 && provesEnd) {
    const ends = held.flatMap(({ received }) => received ?? []);
    const end = ends.reduce((left, right) => (comparePositions(left, right) >= 0 ? left : right));
    certain.push(...held.filter((member) => reaches(member, end) && !certain.includes(member)));
  }
  return certain;
}

function reaches({ received }: MemberFinding, end: Position): boolean {
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
