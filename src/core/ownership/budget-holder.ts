/**
 * Holds one owner's share of one instance's connection limit. The share lapses by this node's own
 * clock, counted from when the request was sent, so a node that was paused finds it gone.
 */
import type { Milliseconds } from '../units.js';
import type { BudgetLeaseOptions, HolderId, ShareAnswer, ShareRequest } from './budget-lease.js';

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

  /** `id` must be unique for the life of the process, such as node id and incarnation. */
  constructor(id: HolderId, options: BudgetLeaseOptions) {
    this.id = id;
    this.#options = options;
  }

  /** `needed`: those that are not merely in reserve. */
  setWanted(connections: number, needed = connections): void {
    this.#wanted = connections;
    this.#needed = needed;
  }

  /** Connections that can't be given back without cutting somebody off. */
  setInUse(connections: number): void {
    this.#inUse = connections;
  }

  /** Connections that may be held now. Ask before each opening; close what is beyond. */
  connections(now: Milliseconds): number {
    return now < this.#share.until ? this.#share.connections : 0;
  }

  /** When the next request is due. */
  nextRequestAt(): Milliseconds {
    return this.#lastSentAt + this.#options.renewMs;
  }

  /** When the share lapses; in the past if there is none. */
  get heldUntil(): Milliseconds {
    return this.#share.until;
  }

  /** A granter has made its term known. The next request will carry it. */
  learnTerm(term: string): void {
    this.#term = term;
  }

  /** The request to send now. Answers to earlier ones will be ignored. */
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

  /** True if the answer is to an earlier request than the latest. */
  isLate(answer: ShareAnswer): boolean {
    return answer.number !== this.#lastNumber;
  }

  /** Takes an answer; true if the share has changed. */
  receive(answer: ShareAnswer, now: Milliseconds): boolean {
    if (this.isLate(answer)) return false;
    if (answer.type === 'refused') {
      this.#onRefused(answer.term);
      return false;
    }
    const previous = this.connections(now);
    this.#share = this.#shareAfter(answer.connections, previous);
    return this.connections(now) !== previous;
  }

  /**
   * What was taken into use after the request was sent is kept under the old share, which the
   * granter still counts: the next request will report it.
   */
  #shareAfter(granted: number, previous: number): Share {
    const kept = Math.min(this.#inUse, previous);
    if (granted >= this.#sentInUse && kept > granted) {
      this.#lastSentAt = Number.NEGATIVE_INFINITY;
      return { connections: kept, until: this.#share.until };
    }
    return { connections: granted, until: this.#lastSentAt + this.#options.leaseMs };
  }

  /** Gives the share up: a holder that stops lets others have it at its next request. */
  release(): void {
    this.setWanted(0);
    this.#share = NO_SHARE;
  }

  #onRefused(term: string | undefined): void {
    if (term === undefined || term === this.#term) return;
    this.#term = term;
    // The granter is there: ask again at once instead of waiting for the next renewal.
    this.#lastSentAt = Number.NEGATIVE_INFINITY;
  }
}
