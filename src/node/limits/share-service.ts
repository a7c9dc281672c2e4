/**
 * Admits callers within this node's leased shares of their tenants' connection limits. A caller for
 * whom there is no place waits while the tenant's allocator is asked for more.
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

/** How long a caller waits for a place at most, in ms: longer than a renewal of everybody's share. */
const ADMISSION_TIMEOUT_MS: Milliseconds = 2500;
/** Callers of one tenant that wait at once; more are refused. */
const MAX_WAITING = 256;
/** How soon a refused caller may ask again, in ms. */
const RETRY_AFTER_MS: Milliseconds = 500;

/** What the share service is made of. */
export interface ShareServiceOptions {
  readonly life: string;
  readonly nodes: LimitNodes;
  readonly peers: LimitsPeerClient;
  readonly limitOf: (tenant: TenantName) => number;
  readonly now: () => Milliseconds;
  readonly lease: TenantLeaseOptions;
  /** How long callers that must go are given to end what they are doing. */
  readonly graceMs: Milliseconds;
  /** So many callers of the tenant may stay; the others must be gone within `graceMs`. */
  readonly onShareLowered: (tenant: TenantName, allowed: number) => void;
}

/** Gives a place back. */
export type Release = () => void;
type Admission = Result<Release, RequestError>;

interface WaitingCaller {
  readonly settle: (admission: Admission) => void;
  readonly timer: NodeJS.Timeout;
}

/** What operators see of one tenant's share on this node. */
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
    this.#shares = new TenantShares(options.life, options.lease);
  }

  /** Resolves once there is a place, or with why there is none. */
  admit({ tenant }: TenantPolicy): ResultAsync<Release, RequestError> {
    const isFirstInLine = !this.#waiting.has(tenant);
    if (isFirstInLine && this.#shares.tryAcquire(tenant, this.#options.now())) {
      return new ResultAsync(Promise.resolve(ok(this.#releaseOf(tenant))));
    }
    if (this.#waitingOf(tenant) >= MAX_WAITING) {
      return new ResultAsync(Promise.resolve(err(noConnectionLeft(tenant))));
    }
    return new ResultAsync(new Promise((resolve) => this.#wait(tenant, resolve)));
  }

  /** Asks for shares that are due and applies those that have lapsed. */
  tick(): void {
    const { now, limitOf, nodes } = this.#options;
    this.#shares.setNodeCount(nodes.liveCount);
    void this.#send(this.#shares.dueRequests(limitOf, now()));
    for (const tenant of this.#shares.tenants()) this.#applyShare(tenant);
  }

  /** The tenant's limit has changed: its share is asked for anew. */
  limitChanged(tenant: TenantName): void {
    this.#shares.scheduleRenewal(tenant);
  }

  /** What this node holds, for an allocator that asks under its term. */
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
      waiting: this.#waitingOf(tenant),
    }));
  }

  /** Refuses everybody who waits and gives all shares back; the callers have gone before. */
  async stop(error: RequestError): Promise<void> {
    for (const [tenant, waiting] of this.#waiting) {
      for (const caller of [...waiting]) this.#settle(tenant, caller, err(error));
    }
    await this.#send(this.#shares.returnAll(this.#options.now()));
  }

  /** One call for each allocator. */
  async #send(requests: readonly TenantShareRequest[]): Promise<void> {
    const byAllocator = new Map<string, TenantShareRequest[]>();
    for (const entry of requests) {
      const allocator = this.#options.nodes.allocatorOf(entry.tenant);
      if (allocator === undefined) continue;
      byAllocator.set(allocator, [...(byAllocator.get(allocator) ?? []), entry]);
    }
    await Promise.all(
      [...byAllocator].map(([allocator, entries]) => this.#ask(allocator, entries)),
    );
  }

  async #ask(allocator: string, requests: readonly TenantShareRequest[]): Promise<void> {
    const answers = await this.#options.peers.askShares(allocator, requests);
    if (answers.isErr()) return;
    requests.forEach((entry, index) => {
      const answer = answers.value[index];
      if (answer === undefined) return;
      this.#shares.receiveResponse(entry, answer, this.#options.now());
      this.#applyShare(entry.tenant);
    });
  }

  /** Callers in, as far as the share goes; callers out, if it is smaller now. */
  #applyShare(tenant: TenantName): void {
    const { now, graceMs, onShareLowered } = this.#options;
    const excess = this.#shares.excessConnections(tenant, graceMs, now());
    if (excess > 0) {
      onShareLowered(tenant, this.#shares.openConnections(tenant) - excess);
      return;
    }
    for (const caller of this.#waiting.get(tenant) ?? []) {
      if (this.#shares.tryAcquire(tenant, now())) {
        this.#settle(tenant, caller, ok(this.#releaseOf(tenant)));
      } else if (this.#shares.isExhausted(tenant)) {
        this.#settle(tenant, caller, err(noConnectionLeft(tenant)));
      } else return;
    }
  }

  #wait(tenant: TenantName, settle: (admission: Admission) => void): void {
    const waiting = this.#waiting.get(tenant) ?? new Set();
    this.#waiting.set(tenant, waiting);
    const caller: WaitingCaller = {
      settle,
      timer: setTimeout(() => {
        this.#settle(tenant, caller, err(noConnectionLeft(tenant)));
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
    this.#shares.setWaiting(tenant, this.#waitingOf(tenant), this.#options.now());
    caller.settle(admission);
  }

  #waitingOf(tenant: TenantName): number {
    return this.#waiting.get(tenant)?.size ?? 0;
  }

  #releaseOf(tenant: TenantName): Release {
    return () => {
      this.#shares.release(tenant, this.#options.now());
      this.#applyShare(tenant);
    };
  }
}

function noConnectionLeft(tenant: TenantName): RequestError {
  const message = `tenant ${tenant} has no connection left`;
  return new NotRunError('connection-limit', message, RETRY_AFTER_MS);
}
