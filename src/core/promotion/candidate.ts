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
export interface MemberObservation {
  readonly entry: InstanceEntry;
  /** Last position received; undefined if it has not answered. */
  readonly received: Position | undefined;
  /** It receives nothing more from the old primary: held, or demoted. */
  readonly isStopped: boolean;
  /** Its entry is in the store. */
  readonly isRegistered: boolean;
  /** This node reaches it. */
  readonly isReachable: boolean;
}

export interface CandidateInput {
  /** All members but the old primary. */
  readonly replicas: readonly MemberObservation[];
  /** The old primary; `stopped` if it was demoted. */
  readonly oldPrimary: MemberObservation | undefined;
  /** The member that has the old primary's address and log, if that one was replaced in place. */
  readonly successor?: MemberObservation | undefined;
  readonly syncReplicas: number;
  /** Takes one that is leaving, or the old primary itself, if there is no better one. */
  readonly acceptsAny: boolean;
  /** Takes any that has answered: a test switched the proof off. */
  readonly isProofDisabled: boolean;
}

/** The instance to promote, if one is certain. */
export function chooseCandidate(input: CandidateInput): InstanceEntry | undefined {
  const complete = membersWithAllCommits(input);
  const eligible = complete
    .filter(({ isReachable: isReached }) => isReached)
    .filter((member) => input.acceptsAny || isPreferred(member, input.oldPrimary));
  const [best] = eligible.sort((left, right) => compareCandidates(left, right, input.oldPrimary));
  return best?.entry;
}

/** Members that surely have every acknowledged commit. */
export function membersWithAllCommits(input: CandidateInput): MemberObservation[] {
  const { replicas, oldPrimary: from, successor, syncReplicas, acceptsAny: acceptAny } = input;
  const responsive = replicas.filter(({ received }) => received !== undefined);
  if (input.isProofDisabled) return responsive;
  const complete: MemberObservation[] = [];
  const isOldPrimaryEnded = from?.isStopped === true && from.received !== undefined;
  if (isOldPrimaryEnded) complete.push(from);
  const knownEnds = [
    isOldPrimaryEnded ? from.received : undefined,
    successor && inheritedLogEnd(successor, responsive),
  ];
  for (const end of knownEnds) {
    if (end !== undefined)
      complete.push(...responsive.filter((member) => hasReceived(member, end)));
  }
  const held = responsive.filter(({ isStopped: stopped }) => stopped);
  const unheldCount = replicas.length - held.length;
  // Without synchronous replicas no proof is to be had: the most that is known has to do.
  const isEndProven =
    syncReplicas === 0 ? unheldCount === 0 || acceptAny : unheldCount < syncReplicas;
  if (held.length > 0 && isEndProven) {
    const ends = held.flatMap(({ received }) => received ?? []);
    const end = ends.reduce((left, right) => (comparePositions(left, right) >= 0 ? left : right));
    complete.push(...held.filter((member) => hasReceived(member, end)));
  }
  return [...new Set(complete)];
}

/**
 * End of the log that a successor in place has from the old primary; undefined while that may still grow, or if the
 * successor lacks what another member has: then it began without the log.
 */
function inheritedLogEnd(
  { received, isStopped: stopped }: MemberObservation,
  responsive: readonly MemberObservation[],
): Position | undefined {
  if (!stopped || received === undefined) return undefined;
  const isBehind = responsive.some(
    (member) => member.received !== undefined && !hasReceived({ received }, member.received),
  );
  return isBehind ? undefined : received;
}

function hasReceived({ received }: Pick<MemberObservation, 'received'>, end: Position): boolean {
  return received !== undefined && comparePositions(received, end) >= 0;
}

function isPreferred(
  { entry, isRegistered: present }: MemberObservation,
  from: MemberObservation | undefined,
): boolean {
  return !entry.draining && present && entry.id !== from?.entry.id;
}

function compareCandidates(
  left: MemberObservation,
  right: MemberObservation,
  from: MemberObservation | undefined,
): number {
  const byPreference = Number(isPreferred(right, from)) - Number(isPreferred(left, from));
  if (byPreference !== 0) return byPreference;
  if (left.received !== undefined && right.received !== undefined) {
    const byPosition = comparePositions(right.received, left.received);
    if (byPosition !== 0) return byPosition;
  }
  const zone = from?.entry.zone;
  const byZone = Number(right.entry.zone === zone) - Number(left.entry.zone === zone);
  return byZone !== 0 ? byZone : left.entry.id < right.entry.id ? -1 : 1;
}
