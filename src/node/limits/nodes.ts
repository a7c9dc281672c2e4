/** The nodes that take part in sharing limits, by this node's view of the fleet. */
import { hashNodes, type NodesByZone, nodesFor } from '../../core/limits/tenant-nodes.js';
import type { Hash64 } from '../../core/ownership/rendezvous.js';
import type { TenantName } from '../../core/request.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { FleetNode } from '../fleet-view.js';

export class LimitNodes {
  readonly #hash: Hash64;
  #live: NodesByZone = [];
  #liveCount = 0;
  #known = new Map<string, FleetNode>();
  #allocators = new Map<TenantName, string | undefined>();

  constructor(hash: Hash64) {
    this.#hash = hash;
  }

  /** `live` may become allocators; `known` may hold shares, too. */
  set(live: readonly FleetNode[], known: readonly FleetNode[]): void {
    this.#live = hashNodes(this.#hash, live);
    this.#liveCount = live.length;
    this.#known = new Map([...known, ...live].map((node) => [node.nodeId, node]));
    this.#allocators = new Map();
  }

  get liveCount(): number {
    return this.#liveCount;
  }

  get knownIds(): readonly string[] {
    return [...this.#known.keys()];
  }

  /** The node that should allocate the tenant's limit; others may believe in another one. */
  allocatorOf(tenant: TenantName): string | undefined {
    if (this.#allocators.has(tenant)) return this.#allocators.get(tenant);
    const [allocator] = nodesFor(this.#hash, `tenant-allocator:${tenant}`, this.#live, 1);
    this.#allocators.set(tenant, allocator);
    return allocator;
  }

  addressOf(nodeId: string): PeerAddress | undefined {
    const node = this.#known.get(nodeId);
    return node === undefined ? undefined : { host: node.host, port: node.peerPort };
  }
}
