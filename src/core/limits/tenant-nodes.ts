/** The nodes that stand for a tenant: chosen by rendezvous hashing, spread over the zones. */
import {
  type Hash64,
  hashCandidate,
  hashGroup,
  type OwnerCandidate,
  selectOwners,
  type ZoneCandidates,
} from '../ownership/rendezvous.js';

/** Nodes with their hashes, by zone. */
export type NodesByZone = readonly ZoneCandidates[];

export function hashNodes(hash: Hash64, nodes: readonly OwnerCandidate[]): NodesByZone {
  const zones = new Map<string, OwnerCandidate[]>();
  for (const node of nodes) zones.set(node.zone, [...(zones.get(node.zone) ?? []), node]);
  return [...zones].map(([zone, members]) => ({
    zone,
    members: members.map((node) => hashCandidate(hash, node)),
  }));
}

/** Ids of the first `count` nodes for a key, best first. */
export function nodesFor(
  hash: Hash64,
  key: string,
  nodes: NodesByZone,
  count: number,
): readonly string[] {
  const selected = selectOwners(hashGroup(hash, key, []), nodes, count);
  return selected.map(({ candidate }) => candidate.nodeId);
}
