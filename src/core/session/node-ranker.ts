/** Rendezvous order of nodes for a key, with the nodes' hashes kept: the home nodes of sessions. */
import { type Hash64, type HashHalves, hashHalves, scoreOf } from '../ownership/rendezvous.js';
import { HOME_SET_SIZE } from './home-nodes.js';

interface RankedNode {
  readonly nodeId: string;
  readonly score: number;
}

/** Ranks nodes for a key. */
export class NodeRanker {
  readonly #hash: Hash64;
  #halves = new Map<string, HashHalves>();
  /** The list that was ranked last, with the hashes in its order: mostly it is the same one. */
  #lastIds: readonly string[] = [];
  #lastHalves: readonly HashHalves[] = [];

  constructor(hash: Hash64) {
    this.#hash = hash;
  }

  /**
   * The best nodes for the key, best first, as many as a home set has; the same on every node. An
   * array must not change after it was given.
   */
  readonly rank = (key: string, nodeIds: readonly string[]): readonly string[] => {
    if (nodeIds !== this.#lastIds) this.#hashAll(nodeIds);
    const keyHalves = hashHalves(this.#hash, key);
    const best: RankedNode[] = [];
    let leastScore = -1;
    // A plain loop: it looks at every node of the fleet.
    let index = 0;
    for (const halves of this.#lastHalves) {
      const score = scoreOf(keyHalves, halves);
      if (score >= leastScore) {
        keepBest(best, { nodeId: nodeIds[index] ?? '', score });
        leastScore = best[HOME_SET_SIZE - 1]?.score ?? -1;
      }
      index += 1;
    }
    return best.map(({ nodeId }) => nodeId);
  };

  #hashAll(nodeIds: readonly string[]): void {
    this.#lastIds = nodeIds;
    this.#lastHalves = nodeIds.map((nodeId) => this.#halvesOf(nodeId));
    this.#forgetOld(nodeIds.length);
  }

  #halvesOf(nodeId: string): HashHalves {
    const known = this.#halves.get(nodeId);
    if (known !== undefined) return known;
    const halves = hashHalves(this.#hash, nodeId);
    this.#halves.set(nodeId, halves);
    return halves;
  }

  /** Node ids of nodes that are long gone don't pile up. */
  #forgetOld(liveNodes: number): void {
    if (this.#halves.size > 2 * liveNodes) this.#halves = new Map();
  }
}

/** `best` is ordered, best first, and holds at most a home set. */
function keepBest(best: RankedNode[], node: RankedNode): void {
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
