/** The proxies on the machine list: seeds and leaving marks. The list lags, so it never decides alone. */
import type { Milliseconds } from '../units.js';
import type { ListedNode } from './contract.js';

/** The proxies of the machine list. */
export class MachineListView {
  readonly #selfId: string;
  #nodes = new Map<string, ListedNode>();
  /** The list has shown this node as live in its current incarnation, so a leaving mark refers to this one. */
  #wasListedLive = false;

  constructor(selfId: string) {
    this.#selfId = selfId;
  }

  /** Replaces the list; returns the ids whose leaving mark has changed. */
  replace(nodes: readonly ListedNode[]): string[] {
    const previous = this.#nodes;
    this.#nodes = new Map(nodes.map((node) => [node.nodeId, node]));
    if (this.#nodes.get(this.#selfId)?.leaving === false) this.#wasListedLive = true;
    const ids = new Set([...previous.keys(), ...this.#nodes.keys()]);
    return [...ids].filter((id) => isLeaving(previous.get(id)) !== this.isLeaving(id));
  }

  isLeaving(nodeId: string): boolean {
    return isLeaving(this.#nodes.get(nodeId));
  }

  /** Other nodes that are listed and not marked as leaving. */
  others(): ListedNode[] {
    return [...this.#nodes.values()].filter(
      (node) => node.nodeId !== this.#selfId && !node.leaving,
    );
  }

  /**
   * True if this node should begin its graceful shutdown. A leaving mark that existed before this
   * incarnation started may refer to an earlier one, so it must persist longer than the list's lag.
   */
  shouldLeave(ageMs: Milliseconds, maxMachineListLagMs: Milliseconds): boolean {
    return this.isLeaving(this.#selfId) && (this.#wasListedLive || ageMs >= maxMachineListLagMs);
  }
}

function isLeaving(node: ListedNode | undefined): boolean {
  return node?.leaving === true;
}
