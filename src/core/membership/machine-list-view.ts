/** What the machine list says of proxies: seeds and leaving marks. It lags, so it never decides alone. */
import type { Milliseconds } from '../units.js';
import type { ListedNode } from './contract.js';

/** The proxies of the machine list. */
export class MachineListView {
  readonly #selfId: string;
  #nodes = new Map<string, ListedNode>();
  /** The list has shown this node as live in this life, so a leaving mark is meant for this life. */
  #seenLive = false;

  constructor(selfId: string) {
    this.#selfId = selfId;
  }

  /** Takes the new list; returns the ids whose leaving mark has changed. */
  replace(nodes: readonly ListedNode[]): string[] {
    const previous = this.#nodes;
    this.#nodes = new Map(nodes.map((node) => [node.nodeId, node]));
    if (this.#nodes.get(this.#selfId)?.leaving === false) this.#seenLive = true;
    const ids = new Set([...previous.keys(), ...this.#nodes.keys()]);
    return [...ids].filter((id) => isLeaving(previous.get(id)) !== this.isLeaving(id));
  }

  isLeaving(nodeId: string): boolean {
    return isLeaving(this.#nodes.get(nodeId));
  }

  /** Other nodes that the list calls live. */
  others(): ListedNode[] {
    return [...this.#nodes.values()].filter(
      (node) => node.nodeId !== this.#selfId && !node.leaving,
    );
  }

  /**
   * True if this node should begin its planned stop. A mark that was there before this life began
   * may belong to an earlier life, so it must outlast the list's lag.
   */
  tellsSelfToLeave(ageMs: Milliseconds, maxMachineListLagMs: Milliseconds): boolean {
    return this.isLeaving(this.#selfId) && (this.#seenLive || ageMs >= maxMachineListLagMs);
  }
}

function isLeaving(node: ListedNode | undefined): boolean {
  return node?.leaving === true;
}
