/**
 * Holds one owner's share of one instance's connection limit. The share expires by this node's own
 * clock, counted from when the request was sent, so a node that was paused finds it expired.
 */
import type { Milliseconds } from '../units.js';
import type { BudgetLeaseOptions, HolderId, ShareRequest, ShareResponse } from './budget-lease.js';

interface Share {
  readonly connections: number;
  readonly until: Milliseconds;
}

const NO_SHARE: Share = { connections: 0, until: Number.NEGATIVE_INFINITY };

/** An owner's share of an instance's connections. */
export class BudgetHolder {
  readonly id: HolderId;
  readonly #options: BudgetLeaseOptions;
  #share = NO_SHARE;
  #term: string | undefined;
  #lastNumber = 0;
  #lastSentAt = Number.NEGATIVE_INFINITY;
  #wanted = 0;
  #needed = 0;
  #inUse = 0;
  /** `inUse` of the latest request. */
  #sentInUse = 0;

  /** `id` must be unique to one run of a process, such as node id and incarnation. */
  constructor(id: HolderId, options: BudgetLeaseOptions) {
    this.id = id;
    this.#options = options;
  }

  /** `needed`: the part of `connections` that is not just a reserve. */
  setWanted(connections: number, needed = connections): void {
    this.#wanted = connections;
    this.#needed = needed;
  }

  /** Connections that can't be released without interrupting a caller. */
  setInUse(connections: number): void {
    this.#inUse = connections;
  }

  /** Connections that may be held now. Check before opening one, and close those above it. */
  connections(now: Milliseconds): number {
    return now < this.#share.until ? this.#share.connections : 0;
  }

  /** When the next request is due. */
  nextRequestAt(): Milliseconds {
    return this.#lastSentAt + this.#options.renewMs;
  }

  /** When the share expires; in the past if there is none. */
  get shareExpiresAt(): Milliseconds {
    return this.#share.until;
  }

  /** Sets the granter's term, which the next request carries. */
  setTerm(term: string): void {
    this.#term = term;
  }

  /** The request to send now. Responses to earlier requests are ignored from then on. */
  request(now: Milliseconds): ShareRequest {
    this.#lastNumber += 1;
    this.#lastSentAt = now;
    this.#sentInUse = this.#inUse;
    return {
      holder: this.id,
      number: this.#lastNumber,
      wanted: this.#wanted,
      needed: this.#needed,
      holding: this.connections(now),
      inUse: this.#inUse,
      term: this.#term,
    };
  }

  /** True if the response doesn't belong to the latest request. */
  isOutdated(answer: ShareResponse): boolean {
    return answer.number !== this.#lastNumber;
  }

  /** Applies a response; true if the number of connections has changed. */
  receiveResponse(answer: ShareResponse, now: Milliseconds): boolean {
    if (this.isOutdated(answer)) return false;
    if (answer.type === 'refused') {
      this.#handleRefusal(answer.term);
      return false;
    }
    const previous = this.connections(now);
    this.#share = this.#shareAfter(answer.connections, previous);
    return this.connections(now) !== previous;
  }

  /**
   * Connections taken into use after the request was sent are kept under the old share, which the
   * granter still counts. The next request, sent at once, reports them.
   */
  #shareAfter(granted: number, previous: number): Share {
    const kept = Math.min(this.#inUse, previous);
    if (granted >= this.#sentInUse && kept > granted) {
      this.#lastSentAt = Number.NEGATIVE_INFINITY;
      return { connections: kept, until: this.#share.until };
    }
    return { connections: granted, until: this.#lastSentAt + this.#options.leaseMs };
  }

  /** Gives up the share. The granter can grant it to others after this holder's next request. */
  release(): void {
    this.setWanted(0);
    this.#share = NO_SHARE;
  }

  #handleRefusal(term: string | undefined): void {
    if (term === undefined || term === this.#term) return;
    this.#term = term;
    // The granter is reachable: send the next request at once instead of at the next renewal.
    this.#lastSentAt = Number.NEGATIVE_INFINITY;
  }
}
