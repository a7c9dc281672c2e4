/**
 * Which nodes own a group, by this node's view of the fleet. Views may differ between nodes: that
 * costs connections, never correctness.
 */
import { createHash } from 'node:crypto';
import type { GroupName } from '../core/request.js';
import type { FleetNode } from './fleet-view.js';
import type { OwnerReference } from './gateway/group-client.js';

export interface OwnerDirectoryOptions {
  readonly nodeId: string;
  readonly ownersPerGroup: number;
}

export class OwnerDirectory {
  readonly #options: OwnerDirectoryOptions;
  #nodes: readonly FleetNode[] = [];
  #owners = new Map<GroupName, readonly FleetNode[]>();

  constructor(options: OwnerDirectoryOptions) {
    this.#options = options;
  }

  setNodes(nodes: readonly FleetNode[]): void {
    this.#nodes = nodes;
    this.#owners = new Map();
  }

  owns(group: GroupName): boolean {
    return this.#ownersOf(group).some((owner) => owner.nodeId === this.#options.nodeId);
  }

  ownersOf(group: GroupName): readonly OwnerReference[] {
    return this.#ownersOf(group).map((owner) => {
      if (owner.nodeId === this.#options.nodeId) return { type: 'local' };
      return { type: 'remote', address: { host: owner.host, port: owner.peerPort } };
    });
  }

  #ownersOf(group: GroupName): readonly FleetNode[] {
    const known = this.#owners.get(group);
    if (known !== undefined) return known;
    const byId = new Map(this.#nodes.map((node) => [node.nodeId, node]));
    const ranked = rankNodes(group, [...byId.keys()]).slice(0, this.#options.ownersPerGroup);
    const owners = ranked.flatMap((nodeId) => byId.get(nodeId) ?? []);
    this.#owners.set(group, owners);
    return owners;
  }
}

/** Orders nodes by preference for a key, the same on every node. */
export function rankNodes(key: string, nodeIds: readonly string[]): readonly string[] {
  const score = (nodeId: string): string =>
    createHash('sha1').update(`${key}\0${nodeId}`).digest('hex');
  return nodeIds
    .map((nodeId) => ({ nodeId, score: score(nodeId) }))
    .sort((left, right) => (left.score < right.score ? -1 : 1))
    .map(({ nodeId }) => nodeId);
}
