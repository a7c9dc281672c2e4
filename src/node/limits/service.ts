/**
 * Cluster-wide connection limits of tenants, as enforced on this node: holds shares for its callers,
 * allocates the limits of some tenants, and votes for allocators. See
 * docs/design/fleet-wide-limits.md.
 */
import type { ResultAsync } from 'neverthrow';
import type { TenantPolicy } from '../../core/configuration/model.js';
import type { RequestError } from '../../core/errors.js';
import {
  DEFAULT_TENANT_LEASE_OPTIONS,
  type TenantLeaseOptions,
} from '../../core/limits/lease-options.js';
import type { Hash64 } from '../../core/ownership/rendezvous.js';
import type { TenantName } from '../../core/request.js';
import type { Milliseconds } from '../../core/units.js';
import type { NodeIdentity, PeerTransport, WireValue } from '../../peer/contract.js';
import { UnknownMethodError } from '../../peer/errors.js';
import type { FleetNode } from '../fleet-view.js';
import type { CallService } from '../peer-router.js';
import { AllocatorService } from './allocator-service.js';
import {
  parseCall,
  REPORT_METHOD,
  reportRequestSchema,
  SHARE_METHOD,
  shareRequestsSchema,
  VOTE_METHOD,
  voteRequestSchema,
} from './messages.js';
import { LimitNodes } from './nodes.js';
import { LimitsPeerClient } from './peer-client.js';
import { type Release, ShareService, type ShareStatus } from './share-service.js';

const TICK_PERIOD_MS: Milliseconds = 50;

/** Options and dependencies of the limit service. */
export interface TenantLimitServiceOptions {
  readonly identity: NodeIdentity;
  readonly transport: Pick<PeerTransport, 'call'>;
  readonly hash: Hash64;
  /** Returns the tenant's connection limit in the whole cluster; 0 if the tenant has no access. */
  readonly limitOf: (tenant: TenantName) => number;
  readonly now: () => Milliseconds;
  readonly graceMs: Milliseconds;
  readonly onShareLowered: (tenant: TenantName, allowed: number) => void;
  readonly lease?: Partial<TenantLeaseOptions>;
}

/** Status for operators. */
export interface TenantLimitStatus {
  readonly shares: readonly ShareStatus[];
  /** Tenants whose limits this node allocates. */
  readonly allocating: readonly TenantName[];
}

/** Tenants' limits on this node: the shares that it holds and the allocators that it runs. */
export class TenantLimitService implements CallService {
  readonly #nodes: LimitNodes;
  readonly #allocators: AllocatorService;
  readonly #shares: ShareService;
  readonly #methods: ReadonlyMap<string, (body: WireValue) => WireValue>;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: TenantLimitServiceOptions) {
    const { identity, transport, hash, limitOf, now, graceMs, onShareLowered } = options;
    const { nodeId } = identity;
    const lease = { ...DEFAULT_TENANT_LEASE_OPTIONS, ...options.lease };
    const incarnationId = `${nodeId}#${identity.incarnation}`;
    const nodes = new LimitNodes(hash);
    const handleLocally = (method: string, body: WireValue) => this.onCall(method, body);
    const peers = new LimitsPeerClient({ nodeId, transport, nodes, handleLocally });
    this.#nodes = nodes;
    this.#allocators = new AllocatorService({
      ...{ nodeId, incarnationId, hash, nodes, peers, limitOf, now, lease },
    });
    this.#shares = new ShareService({
      ...{ incarnationId, nodes, peers, limitOf, now, lease, graceMs, onShareLowered },
    });
    this.#methods = this.#createMethods();
  }

  start(): void {
    this.#timer ??= setInterval(() => {
      this.#shares.tick();
      this.#allocators.tick();
    }, TICK_PERIOD_MS);
  }

  /** Stops admitting callers, returns the shares, and lets other nodes become allocators. */
  async stop(error: RequestError): Promise<void> {
    clearInterval(this.#timer);
    this.#allocators.stop();
    await this.#shares.stop(error);
  }

  /** `listed`: proxies on the machine list that are not marked as leaving. */
  setFleet(
    live: readonly FleetNode[],
    known: readonly FleetNode[],
    listed: readonly FleetNode[],
  ): void {
    this.#nodes.set(live, known);
    this.#allocators.setListedNodes(listed);
  }

  /** Resolves once the caller is admitted, or to the error for which it is refused. */
  admit(policy: TenantPolicy): ResultAsync<Release, RequestError> {
    return this.#shares.admit(policy);
  }

  handleLimitChanged(tenant: TenantName): void {
    this.#shares.handleLimitChanged(tenant);
  }

  status(): TenantLimitStatus {
    return { shares: this.#shares.status(), allocating: this.#allocators.allocatedTenants };
  }

  handles(method: string): boolean {
    return this.#methods.has(method);
  }

  /** @throws LimitsCallError, UnknownMethodError */
  onCall(method: string, body: WireValue): WireValue {
    const handler = this.#methods.get(method);
    if (handler === undefined) throw new UnknownMethodError(method);
    return handler(body);
  }

  #createMethods(): ReadonlyMap<string, (body: WireValue) => WireValue> {
    return new Map([
      [VOTE_METHOD, (body) => this.#vote(body)],
      [SHARE_METHOD, (body) => this.#share(body)],
      [REPORT_METHOD, (body) => this.#report(body)],
    ]);
  }

  #vote(body: WireValue): WireValue {
    const { elections } = parseCall(voteRequestSchema, body);
    return { votes: this.#allocators.vote(elections) };
  }

  #share(body: WireValue): WireValue {
    const { requests } = parseCall(shareRequestsSchema, body);
    return { answers: requests.map((request) => this.#allocators.handleShareRequest(request)) };
  }

  #report(body: WireValue): WireValue {
    const { tenant, term } = parseCall(reportRequestSchema, body);
    return { report: this.#shares.report(tenant, term) };
  }
}
