/**
 * Queue of requests that wait for a connection. The next one is that of the highest priority, then that of the
 * tenant which holds the fewest connections for its weight, then the oldest. So a tenant that floods an instance
 * waits behind its own requests and doesn't delay others.
 */

export interface QueuedRequest {
  readonly tenant: string;
  /** 0 is the highest. */
  readonly priority: number;
  /** Divides the number of connections that the tenant holds; greater than 0. */
  readonly weight: number;
  /** Maximum number of waiting requests of its tenant. */
  readonly maxWaiting: number;
}

export class FairQueue<Request extends QueuedRequest> {
  #requests: Request[] = [];
  readonly #waitingByTenant = new Map<string, number>();

  get length(): number {
    return this.#requests.length;
  }

  /** Number of waiting requests by tenant; tenants without any are absent. */
  get waitingByTenant(): ReadonlyMap<string, number> {
    return this.#waitingByTenant;
  }

  /** Waiting requests in order of arrival. */
  get requests(): readonly Request[] {
    return this.#requests;
  }

  /** Returns false, without adding the request, if its tenant has too many waiting already. */
  push(request: Request): boolean {
    const waiting = this.#waitingByTenant.get(request.tenant) ?? 0;
    if (waiting >= request.maxWaiting) return false;
    this.#waitingByTenant.set(request.tenant, waiting + 1);
    this.#requests.push(request);
    return true;
  }

  /** Returns false if the request is no longer in the queue. */
  remove(request: Request): boolean {
    const index = this.#requests.indexOf(request);
    if (index < 0) return false;
    this.#requests.splice(index, 1);
    const remaining = (this.#waitingByTenant.get(request.tenant) ?? 1) - 1;
    if (remaining > 0) this.#waitingByTenant.set(request.tenant, remaining);
    else this.#waitingByTenant.delete(request.tenant);
    return true;
  }

  /**
   * Removes and returns the next request among tenants that may hold another connection.
   * @param held number of connections that each tenant holds
   * @param canServe whether there is a connection for this request
   * @param choose replaces the order of this queue among requests that can be served
   */
  takeNext(
    held: ReadonlyMap<string, number>,
    mayHoldMore: (tenant: string) => boolean = () => true,
    canServe: (request: Request) => boolean = () => true,
    choose: (candidates: readonly Request[]) => Request | undefined = (candidates) =>
      selectFirst(candidates, held),
  ): Request | undefined {
    const permittedTenants = new Set([...this.#waitingByTenant.keys()].filter(mayHoldMore));
    const candidates = this.#requests.filter(
      (request) => permittedTenants.has(request.tenant) && canServe(request),
    );
    const next = choose(candidates);
    if (next !== undefined) this.remove(next);
    return next;
  }

  /** Removes and returns all requests in order of arrival. */
  takeAll(): Request[] {
    const requests = this.#requests;
    this.#requests = [];
    this.#waitingByTenant.clear();
    return requests;
  }
}

function selectFirst<Request extends QueuedRequest>(
  candidates: readonly Request[],
  held: ReadonlyMap<string, number>,
): Request | undefined {
  let first: Request | undefined;
  for (const request of candidates) {
    if (first === undefined || isBefore(request, first, held)) first = request;
  }
  return first;
}

function isBefore(
  left: QueuedRequest,
  right: QueuedRequest,
  held: ReadonlyMap<string, number>,
): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return weightedLoad(left, held) < weightedLoad(right, held);
}

/** Number of connections that a tenant holds, divided by its weight. */
export function weightedLoad(
  { tenant, weight }: Pick<QueuedRequest, 'tenant' | 'weight'>,
  held: ReadonlyMap<string, number>,
): number {
  return (held.get(tenant) ?? 0) / weight;
}
