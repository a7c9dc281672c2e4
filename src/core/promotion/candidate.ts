/**
 * Decides which instances can be promoted without losing an acknowledged commit, and which of them is best. A commit
 * is acknowledged once `syncReplicas` replicas have received it, and of any two logs one is a prefix of the other. So
 * there are three proofs that an instance has every acknowledged commit:
 *
 * - The old primary was demoted and reported the end of its log, and the instance has received up to that end.
 * - The old primary has stopped, a successor at the same address took over its log and is held, and the instance has
 *   received as much as the successor.
 * - Fewer replicas are not held than a commit needs, so at least one held replica has received every acknowledged
 *   commit, and no held replica has received more than the instance.
 *
 * Each rests on responses of some members, and a new incarnation of a member responds without the log of the last one.
 * The end of the log that they show must therefore cover every commit that a node has confirmed to a caller, unless
 * each of these responses is proven to come from the incarnation that counts.
 *
 * A replica that is not among the members may have counted towards a commit as well: one that had departed and is back
 * where only its primary reaches it. So the end must in any case cover the position that replicas are known to have
 * received.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import { comparePositions, type Position } from '../position.js';

/** Latest response of a group member, if it is recent enough to count. */
export interface MemberObservation {
  readonly entry: InstanceEntry;
  /** Last log position it has received; undefined if it has not responded. */
  readonly received: Position | undefined;
  /** It receives no more log from the old primary: it is held, or is the old primary itself and was demoted. */
  readonly isStopped: boolean;
  /** Its registration is in the store. */
  readonly isRegistered: boolean;
  /** Whether this node can reach it. */
  readonly isReachable: boolean;
  /** Its responses are proven to come from this incarnation, not from a later one under the same platform id. */
  readonly isConfirmed: boolean;
}

export interface CandidateInput {
  /** All members but the old primary. */
  readonly replicas: readonly MemberObservation[];
  /** The old primary; `isStopped` if it was demoted. */
  readonly oldPrimary: MemberObservation | undefined;
  /** Member with the old primary's address and log, if the old primary was replaced in place. */
  readonly successor?: MemberObservation | undefined;
  readonly syncReplicas: number;
  /** End of the log at the latest commit that a node has confirmed to a caller; undefined if none is known. */
  readonly acknowledged?: Position | undefined;
  /** Position that replicas had received when nodes confirmed commits; undefined if none is known. */
  readonly replicated?: Position | undefined;
  /** Whether a draining instance or the old primary itself is acceptable if there is no better candidate. */
  readonly acceptsAny: boolean;
  /** Accepts any member that has responded; a test has disabled the proof. */
  readonly isProofDisabled: boolean;
}

/** Chooses the instance to promote; undefined if no acceptable one is proven to have every acknowledged commit. */
export function chooseCandidate(input: CandidateInput): InstanceEntry | undefined {
  const complete = membersWithAllCommits(input);
  const eligible = complete
    .filter(({ isReachable }) => isReachable)
    .filter((member) => input.acceptsAny || isPreferred(member, input.oldPrimary));
  const [best] = eligible.sort((left, right) => compareCandidates(left, right, input.oldPrimary));
  return best?.entry;
}

/** Members that are proven to have every acknowledged commit. */
export function membersWithAllCommits(input: CandidateInput): MemberObservation[] {
  const { replicas, oldPrimary, successor, syncReplicas, acceptsAny } = input;
  const responsive = replicas.filter(({ received }) => received !== undefined);
  if (input.isProofDisabled) return responsive;
  const complete: MemberObservation[] = [];
  const isOldLogEndKnown =
    oldPrimary?.isStopped === true &&
    oldPrimary.received !== undefined &&
    coversAcknowledged(input, oldPrimary.received, [oldPrimary]);
  if (isOldLogEndKnown) complete.push(oldPrimary);
  const knownEnds = [
    isOldLogEndKnown ? oldPrimary.received : undefined,
    successor && inheritedLogEnd(input, successor, responsive),
  ];
  for (const end of knownEnds) {
    if (end !== undefined)
      complete.push(...responsive.filter((member) => hasReceived(member, end)));
  }
  const held = responsive.filter(({ isStopped }) => isStopped);
  const unheldCount = replicas.length - held.length;
  // Without synchronous replicas there is no proof: the longest log among the held replicas has to suffice.
  const isEndProven =
    syncReplicas === 0 ? unheldCount === 0 || acceptsAny : unheldCount < syncReplicas;
  if (held.length > 0 && isEndProven) {
    const ends = held.flatMap(({ received }) => received ?? []);
    const end = ends.reduce((left, right) => (comparePositions(left, right) >= 0 ? left : right));
    if (coversAcknowledged(input, end, held)) {
      complete.push(...held.filter((member) => hasReceived(member, end)));
    }
  }
  return [...new Set(complete)];
}

/**
 * Whether the end of the log that these members show can be relied on: it covers what replicas have received for
 * certain, and either every commit that may have been acknowledged or the members are proven to be the incarnations that
 * received them.
 */
function coversAcknowledged(
  { acknowledged, replicated, syncReplicas }: CandidateInput,
  end: Position,
  members: readonly MemberObservation[],
): boolean {
  if (syncReplicas === 0) return true;
  if (replicated !== undefined && !hasReceived({ received: end }, replicated)) return false;
  if (acknowledged === undefined) return true;
  return hasReceived({ received: end }, acknowledged) || members.every((one) => one.isConfirmed);
}

/**
 * End of the log that a successor at the old primary's address took over. Undefined while that log may still grow, or
 * if another member has received more: then the successor started without the log.
 */
function inheritedLogEnd(
  input: CandidateInput,
  successor: MemberObservation,
  responsive: readonly MemberObservation[],
): Position | undefined {
  const { received, isStopped } = successor;
  if (!isStopped || received === undefined) return undefined;
  if (!coversAcknowledged(input, received, [successor])) return undefined;
  const isBehind = responsive.some(
    (member) => member.received !== undefined && !hasReceived({ received }, member.received),
  );
  return isBehind ? undefined : received;
}

function hasReceived({ received }: Pick<MemberObservation, 'received'>, end: Position): boolean {
  return received !== undefined && comparePositions(received, end) >= 0;
}

function isPreferred(
  { entry, isRegistered }: MemberObservation,
  oldPrimary: MemberObservation | undefined,
): boolean {
  return !entry.draining && isRegistered && entry.id !== oldPrimary?.entry.id;
}

function compareCandidates(
  left: MemberObservation,
  right: MemberObservation,
  oldPrimary: MemberObservation | undefined,
): number {
  const byPreference =
    Number(isPreferred(right, oldPrimary)) - Number(isPreferred(left, oldPrimary));
  if (byPreference !== 0) return byPreference;
  if (left.received !== undefined && right.received !== undefined) {
    const byPosition = comparePositions(right.received, left.received);
    if (byPosition !== 0) return byPosition;
  }
  const zone = oldPrimary?.entry.zone;
  const byZone = Number(right.entry.zone === zone) - Number(left.entry.zone === zone);
  return byZone !== 0 ? byZone : left.entry.id < right.entry.id ? -1 : 1;
}
