/** Measures the owners of the design size's 15,000 groups as one node keeps them, at a given fleet size. */
import type { ConfigurationMember } from '../../src/core/configuration/relays.js';
import { type GroupPlacement, OwnerIndex } from '../../src/core/ownership/owner-index.js';
import type { Hash64 } from '../../src/core/ownership/rendezvous.js';
import { NodeRanker } from '../../src/core/session/node-ranker.js';
import { roundTo } from '../distribution.js';
import { meanMs, measureMemory } from './measure.js';

const CHANGES = 20;
const LOOK_UPS = 2000;

export interface OwnershipCost {
  readonly members: number;
  readonly groups: number;
  readonly memoryBytes: number;
  /** Time to build the index from scratch, as at a node's start. */
  readonly buildMs: number;
  readonly memberAddedMs: number;
  readonly memberRemovedMs: number;
  /** Time to rank all nodes as home nodes of one session. */
  readonly rankNodesMs: number;
}

export function measureOwnership(
  hash: Hash64,
  members: readonly ConfigurationMember[],
  groups: readonly GroupPlacement[],
): OwnershipCost {
  let buildMs = 0;
  const { built: index, bytes } = measureMemory(() => {
    const fresh = new OwnerIndex(hash);
    buildMs = meanMs(1, () => {
      fresh.addMembers(members);
      for (const group of groups) fresh.setGroup(group);
    });
    return fresh;
  });
  const moved = members.slice(0, CHANGES);
  const memberRemovedMs = meanMs(moved.length, (at) => {
    index.removeMember(moved[at]?.nodeId ?? '');
  });
  const memberAddedMs = meanMs(moved.length, (at) => {
    const member = moved[at];
    if (member !== undefined) index.addMember(member);
  });
  const ranker = new NodeRanker(hash);
  const nodeIds = members.map(({ nodeId }) => nodeId);
  const rankNodesMs = meanMs(LOOK_UPS, (at) => {
    ranker.rank(`key-${at}`, nodeIds);
  });
  return {
    members: members.length,
    groups: groups.length,
    memoryBytes: bytes,
    buildMs: roundTo(buildMs),
    memberAddedMs: roundTo(memberAddedMs, 3),
    memberRemovedMs: roundTo(memberRemovedMs, 3),
    rankNodesMs: roundTo(rankNodesMs, 3),
  };
}
