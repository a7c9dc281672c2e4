/** The nodes that take part in sharing limits, by this node's view of the fleet. */
import {
  type Hash64,
  type HashedCandidate,
  hashCandidate,
  hashGroup,
  selectOwners,
} from '../../core/ownership/rendezvous.js';
import type { TenantName } from '../../core/request.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { FleetNode } from '../fleet-view.js';

export class LimitNodes {
  readonly #hash: Hash64;
  #live: readonly HashedCandidate[] = [];
  #known = new Map<string, FleetNode>();
  #allocators = new Map<TenantName, string | undefined>();

  constructor(hash: Hash64) {
    this.#hash = hash;
  }

  /** `live` may become allocators; `known` may hold shares, too. */
  set(live: readonly FleetNode[], known: readonly FleetNode[]): void {
    this.#live = live.map((node) => hashCandidate(this.#hash, node));
    this.#known = new Map([...known, ...live].map((node) => [node.nodeId, node]));
    this.#allocators = new Map();
  }

  get liveCount(): number {
    return this.#live.length;
  }

  get knownIds(): readonly string[] {
    return [...this.#known.keys()];
  }

  /** The node that should allocate the tenant's limit; others may believe in another one. */
  allocatorOf(tenant: TenantName): string | undefined {
    if (this.#allocators.has(tenant)) return this.#allocators.get(tenant);
    const key = hashGroup(this.#hash, `tenant-allocator:${tenant}`, []);
    const allocator = selectOwners(key, this.#live, 1)[0]?.nodeId;
    this.#allocators.set(tenant, allocator);
    return allocator;
  }

  addressOf(nodeId: string): PeerAddress | undefined {
    const node = this.#known.get(nodeId);
    return node === undefined ? undefined : { host: node.host, port: node.peerPort };
  }
}
