/** The nodes that take part in dividing limits, according to this node's view of the cluster. */
import { NodeHashCache, type NodeSelector } from '../../core/limits/tenant-nodes.js';
import type { Hash64 } from '../../core/ownership/rendezvous.js';
import type { TenantName } from '../../core/request.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { FleetNode } from '../fleet-view.js';

/** Nodes that may allocate limits or hold shares of them. */
export class LimitNodes {
  readonly #hashes: NodeHashCache;
  #live: readonly FleetNode[] = [];
  #known: ReadonlyMap<string, FleetNode> = new Map();
  /** Created at first use, because the members change more often than it is used. */
  #selector: NodeSelector | undefined;

  constructor(hash: Hash64) {
    this.#hashes = new NodeHashCache(hash);
  }

  /** `live` nodes may become allocators; `known` nodes may hold shares, as live ones may. */
  set(live: readonly FleetNode[], known: readonly FleetNode[]): void {
    this.#live = live;
    this.#known = new Map([...known, ...live].map((node) => [node.nodeId, node]));
    this.#selector = undefined;
  }

  get liveCount(): number {
    return this.#live.length;
  }

  get knownIds(): readonly string[] {
    return [...this.#known.keys()];
  }

  /** The designated allocator of the tenant's limit; nodes with other views may designate another. */
  allocatorOf(tenant: TenantName): string | undefined {
    this.#selector ??= this.#hashes.selectorFor(this.#live);
    return this.#selector.select(`tenant-allocator:${tenant}`, 1)[0];
  }

  addressOf(nodeId: string): PeerAddress | undefined {
    const node = this.#known.get(nodeId);
    return node === undefined ? undefined : { host: node.host, port: node.peerPort };
  }
}
