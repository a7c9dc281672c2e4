/**
 * Which members of the roster own an instance: rendezvous hashing, first among the members of the
 * instance's zone. A statement crosses zones once at most then, wherever its caller is.
 */
import type { ZoneName } from '../request.js';
import type { ReachableNode } from './owner-roster.js';
import { type Hash64, hashHalves, scoreOf } from './rendezvous.js';

/** What ownership depends on. */
export interface OwnedInstance {
  readonly id: string;
  readonly zone: ZoneName;
}

/** The owners of one instance. */
export interface InstanceOwners {
  /** Best first. */
  readonly owners: readonly ReachableNode[];
  /** Used only when no owner can be reached. */
  readonly spare: ReachableNode | undefined;
}

/** The owners of an instance in this roster. */
export function ownersOf(
  instance: OwnedInstance,
  roster: readonly ReachableNode[],
  count: number,
  hash: Hash64,
): InstanceOwners {
  const group = hashHalves(hash, `instance:${instance.id}`);
  const scored = roster.map((node) => ({
    node,
    isNear: node.zone === instance.zone,
    score: scoreOf(group, hashHalves(hash, `member:${node.nodeId}`)),
  }));
  scored.sort((left, right) => {
    if (left.isNear !== right.isNear) return left.isNear ? -1 : 1;
    return right.score - left.score || (left.node.nodeId < right.node.nodeId ? -1 : 1);
  });
  const ranked = scored.map(({ node }) => node);
  return { owners: ranked.slice(0, count), spare: ranked[count] };
}

/** Whether a node may hold connections to the instance: as an owner or as the spare one. */
export function mayConnect({ owners, spare }: InstanceOwners, nodeId: string): boolean {
  return spare?.nodeId === nodeId || owners.some((owner) => owner.nodeId === nodeId);
}

/**
 * The owners in the order in which they are tried, by whoever asks: a node, so that the nodes spread over them; or a
 * tenant where connections are of one tenant each, so that all nodes find its connections at the same owner.
 */
export function preferenceOf(
  { owners, spare }: InstanceOwners,
  asker: string,
  hash: Hash64,
): readonly ReachableNode[] {
  const self = hashHalves(hash, `caller:${asker}`);
  const scored = owners.map((node) => ({
    node,
    score: scoreOf(self, hashHalves(hash, `member:${node.nodeId}`)),
  }));
  scored.sort((left, right) => right.score - left.score);
  const ordered = scored.map(({ node }) => node);
  return spare === undefined ? ordered : [...ordered, spare];
}
