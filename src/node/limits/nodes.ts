/** The nodes that take part in sharing limits, by this node's view of the fleet. */
import { NodeHashCache, type NodeSelector } from '../../core/limits/tenant-nodes.js';
import type { Hash64 } from '../../core/ownership/rendezvous.js';
import type { TenantName } from '../../core/request.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { FleetNode } from '../fleet-view.js';

/** The nodes that the limits talk to. */
export class LimitNodes {
  readonly #hashes: NodeHashCache;
  #live: readonly FleetNode[] = [];
  #known: ReadonlyMap<string, FleetNode> = new Map();
  /** Made when it is first asked for: members change more often than that. */
  #choice: NodeSelector | undefined;

  constructor(hash: Hash64) {
    this.#hashes = new NodeHashCache(hash);
  }

  /** `live` may become allocators; `known` may hold shares, too. */
  set(live: readonly FleetNode[], known: readonly FleetNode[]): void {
    this.#live = live;
    this.#known = new Map([...known, ...live].map((node) => [node.nodeId, node]));
    this.#choice = undefined;
  }

  get liveCount(): number {
    return this.#live.length;
  }

  get knownIds(): readonly string[] {
    return [...this.#known.keys()];
  }

  /** The node that should allocate the tenant's limit; others may believe in another one. */
  allocatorOf(tenant: TenantName): string | undefined {
    this.#choice ??= this.#hashes.selectorFor(this.#live);
    return this.#choice.select(`tenant-allocator:${tenant}`, 1)[0];
  }

  addressOf(nodeId: string): PeerAddress | undefined {
    const node = this.#known.get(nodeId);
    return node === undefined ? undefined : { host: node.host, port: node.peerPort };
  }
}
