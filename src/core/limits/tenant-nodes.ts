/** Selects the nodes responsible for a tenant, by rendezvous hashing, spread over the zones. */
import {
  type Hash64,
  type HashedCandidate,
  hashCandidate,
  hashGroup,
  type OwnerCandidate,
  selectOwners,
} from '../ownership/rendezvous.js';

/** Nodes with their hashes, by zone. */
type NodesByZone = readonly {
  readonly zone: string;
  readonly members: readonly HashedCandidate[];
}[];

/** Caches node hashes between successive sets of nodes, since most nodes stay the same. */
export class NodeHashCache {
  readonly #hash: Hash64;
  #hashedNodes = new Map<string, HashedCandidate>();

  constructor(hash: Hash64) {
    this.#hash = hash;
  }

  /** Makes a selector for these nodes; cached hashes of other nodes are dropped. */
  selectorFor(nodes: readonly OwnerCandidate[]): NodeSelector {
    const hashedNodes = new Map<string, HashedCandidate>();
    const zones = new Map<string, HashedCandidate[]>();
    for (const node of nodes) {
      const cached = this.#hashedNodes.get(node.nodeId);
      const hashed = cached?.zone === node.zone ? cached : hashCandidate(this.#hash, node);
      hashedNodes.set(node.nodeId, hashed);
      const members = zones.get(node.zone) ?? [];
      members.push(hashed);
      zones.set(node.zone, members);
    }
    this.#hashedNodes = hashedNodes;
    return new NodeSelector(
      this.#hash,
      [...zones].map(([zone, members]) => ({ zone, members })),
    );
  }
}

/** Selects among a fixed set of nodes, and caches each selection. */
export class NodeSelector {
  readonly #hash: Hash64;
  readonly #nodes: NodesByZone;
  readonly #selectionByKey = new Map<string, readonly string[]>();

  constructor(hash: Hash64, nodes: NodesByZone) {
    this.#hash = hash;
    this.#nodes = nodes;
  }

  /**
   * Ids of the `count` highest-ranked nodes for a key, best first. Always pass the same `count` for a
   * key: the selection is cached by the key alone.
   */
  select(key: string, count: number): readonly string[] {
    const cached = this.#selectionByKey.get(key);
    if (cached !== undefined) return cached;
    const owners = selectOwners(hashGroup(this.#hash, key, []), this.#nodes, count);
    const selection = owners.map(({ candidate }) => candidate.nodeId);
    this.#selectionByKey.set(key, selection);
    return selection;
  }
}
