/**
 * Who waits for a connection, and who gets the next: the highest priority first, then the tenant that
 * holds the fewest, then whoever came first. So a tenant that floods an instance waits behind its own
 * requests, not in front of others.
 */

export interface QueuedRequest {
  readonly tenant: string;
  /** 0 is the highest. */
  readonly priority: number;
}

export class FairQueue<Request extends QueuedRequest> {
  #requests: Request[] = [];

  /** Bound on what one tenant may have waiting. */
  constructor(private readonly maxPerTenant: number) {}

  get length(): number {
    return this.#requests.length;
  }

  /** False if the tenant has too many waiting already; nothing is taken then. */
  push(request: Request): boolean {
    const waiting = this.#requests.filter(({ tenant }) => tenant === request.tenant).length;
    if (waiting >= this.maxPerTenant) return false;
    this.#requests.push(request);
    return true;
  }

  /** False if it does not wait any more. */
  remove(request: Request): boolean {
    const index = this.#requests.indexOf(request);
    if (index < 0) return false;
    this.#requests.splice(index, 1);
    return true;
  }

  /** Takes the next, given how many connections each tenant holds. */
  takeNext(held: ReadonlyMap<string, number>): Request | undefined {
    let best: Request | undefined;
    for (const request of this.#requests) {
      if (best === undefined || isBefore(request, best, held)) best = request;
    }
    if (best !== undefined) this.remove(best);
    return best;
  }

  /** Takes all, in the order in which they came. */
  takeAll(): Request[] {
    const requests = this.#requests;
    this.#requests = [];
    return requests;
  }
}

function isBefore(
  left: QueuedRequest,
  right: QueuedRequest,
  held: ReadonlyMap<string, number>,
): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return (held.get(left.tenant) ?? 0) < (held.get(right.tenant) ?? 0);
}
