/** Ranks nodes for a session key by rendezvous hashing, with the nodes' hashes cached. */
import { type Hash64, type HashHalves, hashHalves, scoreOf } from '../ownership/rendezvous.js';
import { HOME_SET_SIZE } from './home-nodes.js';

interface RankedNode {
  readonly nodeId: string;
  readonly score: number;
}

/** Selects the home nodes of a key. */
export class NodeRanker {
  readonly #hash: Hash64;
  #halvesByNodeId = new Map<string, HashHalves>();
  /** The array ranked last and its hashes, in its order; most calls pass the same array again. */
  #lastIds: readonly string[] = [];
  #lastHalves: readonly HashHalves[] = [];

  constructor(hash: Hash64) {
    this.#hash = hash;
  }

  /**
   * Returns the `HOME_SET_SIZE` highest-ranked nodes for the key, best first; the result is the
   * same on every node. The caller must not modify `nodeIds` afterwards: its hashes are cached.
   */
  readonly rank = (key: string, nodeIds: readonly string[]): readonly string[] => {
    if (nodeIds !== this.#lastIds) this.#hashNodeIds(nodeIds);
    const keyHalves = hashHalves(this.#hash, key);
    const best: RankedNode[] = [];
    let minimumScore = -1;
    // A plain loop for speed: it iterates over every node of the cluster.
    let index = 0;
    for (const halves of this.#lastHalves) {
      const score = scoreOf(keyHalves, halves);
      if (score >= minimumScore) {
        insertIfBest(best, { nodeId: nodeIds[index] ?? '', score });
        minimumScore = best[HOME_SET_SIZE - 1]?.score ?? -1;
      }
      index += 1;
    }
    return best.map(({ nodeId }) => nodeId);
  };

  #hashNodeIds(nodeIds: readonly string[]): void {
    this.#lastIds = nodeIds;
    this.#lastHalves = nodeIds.map((nodeId) => this.#halvesOf(nodeId));
    this.#limitCachedHashes(nodeIds.length);
  }

  #halvesOf(nodeId: string): HashHalves {
    const known = this.#halvesByNodeId.get(nodeId);
    if (known !== undefined) return known;
    const halves = hashHalves(this.#hash, nodeId);
    this.#halvesByNodeId.set(nodeId, halves);
    return halves;
  }

  /** Clears the cache when most of it may belong to nodes that have left the cluster. */
  #limitCachedHashes(liveNodeCount: number): void {
    if (this.#halvesByNodeId.size > 2 * liveNodeCount) this.#halvesByNodeId = new Map();
  }
}

/** Inserts a node that ranks high enough; `best` is sorted and holds at most `HOME_SET_SIZE`. */
function insertIfBest(best: RankedNode[], node: RankedNode): void {
  const worst = best[HOME_SET_SIZE - 1];
  if (worst !== undefined && compareRanked(worst, node) <= 0) return;
  best.push(node);
  best.sort(compareRanked);
  best.length = Math.min(best.length, HOME_SET_SIZE);
}

function compareRanked(left: RankedNode, right: RankedNode): number {
  if (left.score !== right.score) return right.score - left.score;
  return left.nodeId < right.nodeId ? -1 : 1;
}
