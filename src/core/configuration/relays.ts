/**
 * Who relays in a zone, and along which tree a change is pushed. Both follow by rendezvous hashing
 * from the live members, so that nodes with the same view agree without talking. Views that differ
 * cost a push twice or a push too few, which anti-entropy makes good.
 */
import { createHash } from 'node:crypto';

/** Nodes of a zone that may hold the store's watch. */
export const RELAYS_PER_ZONE = 2;
/** Nodes that one node pushes a change to. */
export const PUSH_FAN_OUT = 8;

const SCORE_BYTES = 6;

/** A live node as the membership tells it. */
export interface ConfigurationMember {
  readonly nodeId: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
}

/** The nodes that should relay in a zone, best first. */
export function relayCandidates(
  zone: string,
  members: readonly ConfigurationMember[],
): readonly ConfigurationMember[] {
  const inZone = members.filter((member) => member.zone === zone);
  return byScore(`relay ${zone}`, inZone).slice(0, RELAYS_PER_ZONE);
}

/**
 * To whom a node passes a change on that `root` began to push: its children in a tree over the
 * zone's members. Empty for leaves and for a node that is not in the view.
 */
export function pushTargets(
  root: string,
  nodeId: string,
  zone: string,
  members: readonly ConfigurationMember[],
): readonly ConfigurationMember[] {
  const others = members.filter((member) => member.zone === zone && member.nodeId !== root);
  const order = byScore(`push ${root}`, others);
  const index = nodeId === root ? 0 : order.findIndex((member) => member.nodeId === nodeId) + 1;
  if (index === 0 && nodeId !== root) return [];
  // The root is index 0 of the tree; `order[i]` is index i + 1.
  const firstChild = index * PUSH_FAN_OUT + 1;
  return order.slice(firstChild - 1, firstChild - 1 + PUSH_FAN_OUT);
}

/** True if two views list the same members at the same places. */
export function sameMembers(
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

function byScore(
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
