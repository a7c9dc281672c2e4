/**
 * Selects the nodes that relay in a zone, and the tree along which a change is pushed. Both result
 * from rendezvous hashing over the live members, so that nodes with the same view agree without
 * communicating. If views differ, a push is sent twice or is missing; anti-entropy compensates.
 */
import { createHash } from 'node:crypto';

/** Number of nodes per zone that watch the store. */
export const RELAYS_PER_ZONE = 2;
/** Maximum number of nodes to which one node pushes a change. */
export const PUSH_FAN_OUT = 8;

const SCORE_BYTES = 6;

/** A live node, as reported by the membership protocol. */
export interface ConfigurationMember {
  readonly nodeId: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
}

/** Selects the nodes that should relay in a zone, best first. */
export function selectRelayCandidates(
  zone: string,
  members: readonly ConfigurationMember[],
): readonly ConfigurationMember[] {
  const inZone = members.filter((member) => member.zone === zone);
  return sortByScore(`relay ${zone}`, inZone).slice(0, RELAYS_PER_ZONE);
}

/**
 * Selects the nodes to which a node forwards a change that `root` pushed: its children in a tree
 * over the zone's members. Empty for leaves and for a node that is not among the members.
 */
export function selectPushTargets(
  root: string,
  nodeId: string,
  zone: string,
  members: readonly ConfigurationMember[],
): readonly ConfigurationMember[] {
  const others = members.filter((member) => member.zone === zone && member.nodeId !== root);
  const order = sortByScore(`push ${root}`, others);
  const index = nodeId === root ? 0 : order.findIndex((member) => member.nodeId === nodeId) + 1;
  if (index === 0 && nodeId !== root) return [];
  // The root is index 0 of the tree; `order[i]` is index i + 1.
  const firstChild = index * PUSH_FAN_OUT + 1;
  return order.slice(firstChild - 1, firstChild - 1 + PUSH_FAN_OUT);
}

/** True if two lists contain the same members, with the same addresses, in the same order. */
export function areSameMembers(
  left: readonly ConfigurationMember[],
  right: readonly ConfigurationMember[],
): boolean {
  if (left === right) return true;
  if (left.length !== right.length) return false;
  return left.every((member, index) => {
    const other = right[index];
    return (
      other !== undefined &&
      member.nodeId === other.nodeId &&
      member.host === other.host &&
      member.port === other.port &&
      member.zone === other.zone
    );
  });
}

function sortByScore(
  key: string,
  members: readonly ConfigurationMember[],
): readonly ConfigurationMember[] {
  return members
    .map((member) => ({ member, score: scoreOf(key, member.nodeId) }))
    .sort((left, right) => right.score - left.score)
    .map(({ member }) => member);
}

function scoreOf(key: string, nodeId: string): number {
  const hash = createHash('sha256').update(`${key}\0${nodeId}`).digest();
  return hash.readUIntBE(0, SCORE_BYTES);
}
