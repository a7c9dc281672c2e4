/**
 * Selects the owners of an instance from the roster by rendezvous hashing, preferring nodes in the
 * instance's zone. A statement then crosses zones at most once, wherever its caller is.
 */
import type { ZoneName } from '../request.js';
import type { ReachableNode } from './owner-roster.js';
import { type Hash64, hashHalves, scoreOf } from './rendezvous.js';

/** An instance, as far as its owners depend on it. */
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
    isInSameZone: node.zone === instance.zone,
    score: scoreOf(group, hashHalves(hash, `member:${node.nodeId}`)),
  }));
  scored.sort((left, right) => {
    if (left.isInSameZone !== right.isInSameZone) return left.isInSameZone ? -1 : 1;
    return right.score - left.score || (left.node.nodeId < right.node.nodeId ? -1 : 1);
  });
  const ranked = scored.map(({ node }) => node);
  return { owners: ranked.slice(0, count), spare: ranked[count] };
}

/** Whether a node may hold connections to the instance, as an owner or as the spare. */
export function mayConnect({ owners, spare }: InstanceOwners, nodeId: string): boolean {
  return spare?.nodeId === nodeId || owners.some((owner) => owner.nodeId === nodeId);
}

/**
 * The owners in the order in which a requester tries them. The requester is a node, so that nodes spread over the
 * owners; or, where each connection belongs to one tenant, a tenant, so that all nodes find its connections at the
 * same owner.
 */
export function ownersByPreference(
  { owners, spare }: InstanceOwners,
  requesterId: string,
  hash: Hash64,
): readonly ReachableNode[] {
  const self = hashHalves(hash, `caller:${requesterId}`);
  const scored = owners.map((node) => ({
    node,
    score: scoreOf(self, hashHalves(hash, `member:${node.nodeId}`)),
  }));
  scored.sort((left, right) => right.score - left.score);
  const ordered = scored.map(({ node }) => node);
  return spare === undefined ? ordered : [...ordered, spare];
}
