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

export class BudgetHolder {
  readonly #holder: HolderId;
  readonly #options: BudgetLeaseOptions;
  #share = NO_SHARE;
  #term: string | undefined;
  #lastNumber = 0;
  #lastSentAt = Number.NEGATIVE_INFINITY;
  #wanted = 0;

  /** `holder` must be unique for the life of the process, such as node id and incarnation. */
  constructor(holder: HolderId, options: BudgetLeaseOptions) {
    this.#holder = holder;
    this.#options = options;
  }

  setWanted(connections: number): void {
    this.#wanted = connections;
  }

  /** Connections that may be held now. Ask before each opening; close what is beyond. */
  connections(now: Milliseconds): number {
    return now < this.#share.until ? this.#share.connections : 0;
  }

  /** When the next request is due. */
  nextRequestAt(): Milliseconds {
    return this.#lastSentAt + this.#options.renewMs;
  }

  /** The request to send now. Answers to earlier ones will be ignored. */
  request(now: Milliseconds): ShareRequest {
    this.#lastNumber += 1;
    this.#lastSentAt = now;
    return {
      holder: this.#holder,
      number: this.#lastNumber,
      wanted: this.#wanted,
      holding: this.connections(now),
      term: this.#term,
    };
  }

  /** Takes an answer; true if the share has changed. */
  receive(answer: ShareAnswer, now: Milliseconds): boolean {
    if (answer.number !== this.#lastNumber) return false;
    if (answer.type === 'refused') {
      this.#onRefused(answer.term);
      return false;
    }
    const previous = this.connections(now);
    const until = this.#lastSentAt + this.#options.leaseMs;
    this.#share = { connections: answer.connections, until };
    return this.connections(now) !== previous;
  }

  /** Gives the share up: a holder that stops lets others have it at its next request. */
  release(): void {
    this.#wanted = 0;
    this.#share = NO_SHARE;
  }

  #onRefused(term: string | undefined): void {
    if (term === undefined || term === this.#term) return;
    this.#term = term;
    // The granter is there: ask again at once instead of waiting for the next renewal.
    this.#lastSentAt = Number.NEGATIVE_INFINITY;
  }
}
