/** The nodes that stand for a tenant: chosen by rendezvous hashing, spread over the zones. */
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

/** Hashes of nodes, kept from one set of nodes to the next: most stay the same. */
export class NodeHashes {
  readonly #hash: Hash64;
  #known = new Map<string, HashedCandidate>();

  constructor(hash: Hash64) {
    this.#hash = hash;
  }

  /** The nodes as a set to choose from; nodes that are not in it are forgotten. */
  choiceOf(nodes: readonly OwnerCandidate[]): NodeChoice {
    const known = new Map<string, HashedCandidate>();
    const zones = new Map<string, HashedCandidate[]>();
    for (const node of nodes) {
      const before = this.#known.get(node.nodeId);
      const hashed = before?.zone === node.zone ? before : hashCandidate(this.#hash, node);
      known.set(node.nodeId, hashed);
      const members = zones.get(node.zone) ?? [];
      members.push(hashed);
      zones.set(node.zone, members);
    }
    this.#known = known;
    return new NodeChoice(
      this.#hash,
      [...zones].map(([zone, members]) => ({ zone, members })),
    );
  }
}

/** Chooses among a fixed set of nodes, and remembers what it chose. */
export class NodeChoice {
  readonly #hash: Hash64;
  readonly #nodes: NodesByZone;
  readonly #chosen = new Map<string, readonly string[]>();

  constructor(hash: Hash64, nodes: NodesByZone) {
    this.#hash = hash;
    this.#nodes = nodes;
  }

  /** Ids of the first `count` nodes for a key, best first. Ask for a key with one count only. */
  first(key: string, count: number): readonly string[] {
    const known = this.#chosen.get(key);
    if (known !== undefined) return known;
    const selected = selectOwners(hashGroup(this.#hash, key, []), this.#nodes, count);
    const chosen = selected.map(({ candidate }) => candidate.nodeId);
    this.#chosen.set(key, chosen);
    return chosen;
  }
}
