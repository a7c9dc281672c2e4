/**
 * Who waits for a connection, and who gets the next: the highest priority first, then the tenant that
 * holds the fewest for its weight, then whoever came first. So a tenant that floods an instance waits
 * behind its own requests, not in front of others.
 */

export interface QueuedRequest {
  readonly tenant: string;
  /** 0 is the highest. */
  readonly priority: number;
  /** Connections of a tenant count the less, the greater this is; more than 0. */
  readonly weight: number;
  /** Requests that its tenant may have waiting. */
  readonly maxWaiting: number;
}

export class FairQueue<Request extends QueuedRequest> {
  #requests: Request[] = [];
  readonly #waiting = new Map<string, number>();

  get length(): number {
    return this.#requests.length;
  }

  /** Requests that each tenant has waiting; tenants without any are absent. */
  get waiting(): ReadonlyMap<string, number> {
    return this.#waiting;
  }

  /** Those that wait, in the order in which they came. */
  get requests(): readonly Request[] {
    return this.#requests;
  }

  /** False if the tenant has too many waiting already; nothing is taken then. */
  push(request: Request): boolean {
    const waiting = this.#waiting.get(request.tenant) ?? 0;
    if (waiting >= request.maxWaiting) return false;
    this.#waiting.set(request.tenant, waiting + 1);
    this.#requests.push(request);
    return true;
  }

  /** False if it does not wait any more. */
  remove(request: Request): boolean {
    const index = this.#requests.indexOf(request);
    if (index < 0) return false;
    this.#requests.splice(index, 1);
    const left = (this.#waiting.get(request.tenant) ?? 1) - 1;
    if (left > 0) this.#waiting.set(request.tenant, left);
    else this.#waiting.delete(request.tenant);
    return true;
  }

  /**
   * Takes the next of those tenants that may hold one more.
   * @param held how many connections each tenant holds
   * @param canServe whether there is a connection for this request
   * @param choose another order than that of this queue, over those that may be served
   */
  takeNext(
    held: ReadonlyMap<string, number>,
    mayHoldMore: (tenant: string) => boolean = () => true,
    canServe: (request: Request) => boolean = () => true,
    choose: (candidates: readonly Request[]) => Request | undefined = (candidates) =>
      firstOf(candidates, held),
  ): Request | undefined {
    const permitted = new Set([...this.#waiting.keys()].filter(mayHoldMore));
    const candidates = this.#requests.filter(
      (request) => permitted.has(request.tenant) && canServe(request),
    );
    const next = choose(candidates);
    if (next !== undefined) this.remove(next);
    return next;
  }

  /** Takes all, in the order in which they came. */
  takeAll(): Request[] {
    const requests = this.#requests;
    this.#requests = [];
    this.#waiting.clear();
    return requests;
  }
}

function firstOf<Request extends QueuedRequest>(
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
  return loadOf(left, held) < loadOf(right, held);
}

/** What a tenant holds, for its weight. */
export function loadOf(
  { tenant, weight }: Pick<QueuedRequest, 'tenant' | 'weight'>,
  held: ReadonlyMap<string, number>,
): number {
  return (held.get(tenant) ?? 0) / weight;
}
