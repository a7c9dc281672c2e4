/**
 * Admits callers within this node's leased shares of their tenants' connection limits. If a share is
 * used up, its tenant's callers wait while the node requests more from the tenant's allocator.
 */
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import type { TenantPolicy } from '../../core/configuration/model.js';
import { NotRunError, type RequestError } from '../../core/errors.js';
import type { TenantLeaseOptions } from '../../core/limits/lease-options.js';
import { type TenantShareRequest, TenantShares } from '../../core/limits/tenant-shares.js';
import type { ShareRequest } from '../../core/ownership/budget-lease.js';
import type { TenantName } from '../../core/request.js';
import type { Milliseconds } from '../../core/units.js';
import type { LimitNodes } from './nodes.js';
import type { LimitsPeerClient } from './peer-client.js';

/** Maximum wait of a caller for admission; longer than it takes to renew the shares of all nodes. */
const ADMISSION_TIMEOUT_MS: Milliseconds = 2500;
/** Maximum number of waiting callers of one tenant; further ones are refused. */
const MAX_WAITING_PER_TENANT = 256;
/** Delay after which a refused caller may retry. */
const RETRY_AFTER_MS: Milliseconds = 500;

/** Options and dependencies of the share service. */
export interface ShareServiceOptions {
  readonly incarnationId: string;
  readonly nodes: LimitNodes;
  readonly peers: LimitsPeerClient;
  readonly limitOf: (tenant: TenantName) => number;
  readonly now: () => Milliseconds;
  readonly lease: TenantLeaseOptions;
  /** Time that callers in excess of the share have to finish their work. */
  readonly graceMs: Milliseconds;
  /** Called if only `allowed` callers of the tenant may stay; the others must go within `graceMs`. */
  readonly onShareLowered: (tenant: TenantName, allowed: number) => void;
}

/** Returns an admitted caller's connection to the share. */
export type Release = () => void;
type Admission = Result<Release, RequestError>;

interface WaitingCaller {
  readonly settle: (admission: Admission) => void;
  readonly timer: NodeJS.Timeout;
}

/** Status of one tenant's share on this node, for operators. */
export interface ShareStatus {
  readonly tenant: TenantName;
  readonly open: number;
  readonly held: number;
  readonly waiting: number;
}

/** Admits callers within this node's shares of their tenants' limits. */
export class ShareService {
  readonly #options: ShareServiceOptions;
  readonly #shares: TenantShares;
  readonly #waiting = new Map<TenantName, Set<WaitingCaller>>();

  constructor(options: ShareServiceOptions) {
    this.#options = options;
    this.#shares = new TenantShares(options.incarnationId, options.lease);
  }

  /** Resolves once the caller is admitted, or to the error for which it is refused. */
  admit({ tenant }: TenantPolicy): ResultAsync<Release, RequestError> {
    const hasNoQueue = !this.#waiting.has(tenant);
    if (hasNoQueue && this.#shares.tryAcquire(tenant, this.#options.now())) {
      return new ResultAsync(Promise.resolve(ok(this.#createRelease(tenant))));
    }
    if (this.#waitingCount(tenant) >= MAX_WAITING_PER_TENANT) {
      return new ResultAsync(Promise.resolve(err(createLimitError(tenant))));
    }
    return new ResultAsync(new Promise((resolve) => this.#enqueue(tenant, resolve)));
  }

  /** Requests the shares that are due for renewal, and applies the expiry of shares. */
  tick(): void {
    const { now, limitOf, nodes } = this.#options;
    this.#shares.setNodeCount(nodes.liveCount);
    void this.#sendRequests(this.#shares.dueRequests(limitOf, now()));
    for (const tenant of this.#shares.tenants()) this.#applyShare(tenant);
  }

  /** Renews the tenant's share, since its limit has changed. */
  handleLimitChanged(tenant: TenantName): void {
    this.#shares.scheduleRenewal(tenant);
  }

  /** Reports what this node holds to the allocator of `term`. */
  report(tenant: TenantName, term: string): ShareRequest {
    const { limitOf, now } = this.#options;
    return this.#shares.report(tenant, term, limitOf(tenant), now());
  }

  status(): readonly ShareStatus[] {
    const now = this.#options.now();
    return this.#shares.tenants().map((tenant) => ({
      tenant,
      open: this.#shares.openConnections(tenant),
      held: this.#shares.heldConnections(tenant, now),
      waiting: this.#waitingCount(tenant),
    }));
  }

  /** Refuses waiting callers and returns all shares; admitted callers must be gone before. */
  async stop(error: RequestError): Promise<void> {
    for (const [tenant, waiting] of this.#waiting) {
      for (const caller of [...waiting]) this.#settle(tenant, caller, err(error));
    }
    await this.#sendRequests(this.#shares.returnAll(this.#options.now()));
  }

  /** Sends the requests, in one call to each allocator. */
  async #sendRequests(requests: readonly TenantShareRequest[]): Promise<void> {
    const byAllocator = new Map<string, TenantShareRequest[]>();
    for (const tenantRequest of requests) {
      const allocator = this.#options.nodes.allocatorOf(tenantRequest.tenant);
      if (allocator === undefined) continue;
      byAllocator.set(allocator, [...(byAllocator.get(allocator) ?? []), tenantRequest]);
    }
    await Promise.all(
      [...byAllocator].map(([allocator, entries]) => this.#requestShares(allocator, entries)),
    );
  }

  async #requestShares(allocator: string, requests: readonly TenantShareRequest[]): Promise<void> {
    const responses = await this.#options.peers.requestShares(allocator, requests);
    if (responses.isErr()) return;
    requests.forEach((entry, index) => {
      const response = responses.value[index];
      if (response === undefined) return;
      this.#shares.receiveResponse(entry, response, this.#options.now());
      this.#applyShare(entry.tenant);
    });
  }

  /** Admits waiting callers as far as the share allows, or reports an excess if it has become smaller. */
  #applyShare(tenant: TenantName): void {
    const { now, graceMs, onShareLowered } = this.#options;
    const excess = this.#shares.excessConnections(tenant, graceMs, now());
    if (excess > 0) {
      onShareLowered(tenant, this.#shares.openConnections(tenant) - excess);
      return;
    }
    for (const caller of this.#waiting.get(tenant) ?? []) {
      if (this.#shares.tryAcquire(tenant, now())) {
        this.#settle(tenant, caller, ok(this.#createRelease(tenant)));
      } else if (this.#shares.isExhausted(tenant)) {
        this.#settle(tenant, caller, err(createLimitError(tenant)));
      } else return;
    }
  }

  #enqueue(tenant: TenantName, settle: (admission: Admission) => void): void {
    const waiting = this.#waiting.get(tenant) ?? new Set();
    this.#waiting.set(tenant, waiting);
    const caller: WaitingCaller = {
      settle,
      timer: setTimeout(() => {
        this.#settle(tenant, caller, err(createLimitError(tenant)));
      }, ADMISSION_TIMEOUT_MS),
    };
    waiting.add(caller);
    this.#shares.setWaiting(tenant, waiting.size, this.#options.now());
    this.tick();
  }

  #settle(tenant: TenantName, caller: WaitingCaller, admission: Admission): void {
    clearTimeout(caller.timer);
    const waiting = this.#waiting.get(tenant);
    waiting?.delete(caller);
    if (waiting?.size === 0) this.#waiting.delete(tenant);
    this.#shares.setWaiting(tenant, this.#waitingCount(tenant), this.#options.now());
    caller.settle(admission);
  }

  #waitingCount(tenant: TenantName): number {
    return this.#waiting.get(tenant)?.size ?? 0;
  }

  #createRelease(tenant: TenantName): Release {
    return () => {
      this.#shares.release(tenant, this.#options.now());
      this.#applyShare(tenant);
    };
  }
}

function createLimitError(tenant: TenantName): RequestError {
  const message = `tenant ${tenant} has no connection left`;
  return new NotRunError('connection-limit', message, RETRY_AFTER_MS);
}
