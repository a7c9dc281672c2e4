/** When each node of the fleet last reported that the store responded to nothing, directly or through other nodes. */
import type { Milliseconds } from '../units.js';

/** A node got no response from the store, as of this long ago. */
export interface NodeOutage {
  readonly node: string;
  readonly ageMs: Milliseconds;
}

/** Older reports prove nothing that a read would still wait for. */
const MAX_AGE_MS: Milliseconds = 10_000;

export class OutageReports {
  readonly #asOf = new Map<string, Milliseconds>();

  /** @param ownNode reports about this node are left out, since it knows its own state */
  constructor(private readonly ownNode: string) {}

  /** Records what a peer reported in response to a request sent at this time. */
  record(outages: readonly NodeOutage[], requestedAt: Milliseconds): void {
    for (const { node, ageMs } of outages) {
      const asOf = requestedAt - ageMs;
      if (node !== this.ownNode) this.#asOf.set(node, Math.max(asOf, this.#asOfNode(node)));
    }
    this.#dropOld(requestedAt);
  }

  /** Time as of which this many nodes have reported an outage. */
  asOf(nodes: number): Milliseconds {
    const newestFirst = [...this.#asOf.values()].sort((left, right) => right - left);
    return newestFirst[nodes - 1] ?? Number.NEGATIVE_INFINITY;
  }

  /** The reports about other nodes, for peers. */
  describe(now: Milliseconds): NodeOutage[] {
    this.#dropOld(now);
    return [...this.#asOf].map(([node, asOf]) => ({ node, ageMs: Math.max(0, now - asOf) }));
  }

  #dropOld(now: Milliseconds): void {
    for (const [node, asOf] of this.#asOf) if (now - asOf > MAX_AGE_MS) this.#asOf.delete(node);
  }

  #asOfNode(node: string): Milliseconds {
    return this.#asOf.get(node) ?? Number.NEGATIVE_INFINITY;
  }
}
