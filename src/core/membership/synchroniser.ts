/**
 * Joining and periodic anti-entropy: requests the members that differ from one node at a time, and
 * responds to requests. A node has joined once a whole table was compared. The period then doubles up to
 * its maximum, so that a starting fleet converges fast and a stable one causes little traffic.
 */
import type { Milliseconds } from '../units.js';
import { createSyncPush, createSyncResponse } from './anti-entropy.js';
import type { MembershipEvent, MembershipOptions, NodeAddress } from './contract.js';
import type { MembershipState } from './membership-state.js';
import type { Outbox } from './outbox.js';
import type { RandomChoices } from './random-choices.js';

const PERIOD_GROWTH_FACTOR = 2;

/** Anti-entropy with one member at a time. */
export class Synchroniser {
  readonly #state: MembershipState;
  readonly #outbox: Outbox;
  readonly #options: MembershipOptions;
  readonly #randomChoices: RandomChoices;
  #joined = false;
  #periodMs: Milliseconds;
  #nextSyncAt = 0;

  constructor(
    state: MembershipState,
    outbox: Outbox,
    options: MembershipOptions,
    randomChoices: RandomChoices,
  ) {
    this.#state = state;
    this.#outbox = outbox;
    this.#options = options;
    this.#randomChoices = randomChoices;
    this.#periodMs = options.probePeriodMs;
  }

  /** True once another member's whole table was compared, or if there was no node to sync with. */
  get isJoined(): boolean {
    return this.#joined;
  }

  get nextSyncAt(): Milliseconds {
    return this.#nextSyncAt;
  }

  /** Starts the periodic sync with this node; undefined if there is none. */
  start(target: NodeAddress | undefined, now: Milliseconds): void {
    this.#nextSyncAt = now + this.#randomChoices.jittered(this.#periodMs);
    if (this.#joined) {
      this.#periodMs = Math.min(this.#options.syncPeriodMs, this.#periodMs * PERIOD_GROWTH_FACTOR);
    }
    if (target === undefined) this.#joined = true;
    else this.request(target, 0);
  }

  /** Requests the members that differ, from bucket `cursor` on. */
  request(to: NodeAddress, cursor: number): void {
    const { self, table } = this.#state;
    const request = { sender: self, digests: table.digests(), cursor };
    this.#outbox.emit({ type: 'sync', to: { host: to.host, peerPort: to.peerPort }, request });
  }

  handleRequest(
    event: Extract<MembershipEvent, { type: 'sync-requested' }>,
    now: Milliseconds,
  ): void {
    const { requestId, request } = event;
    const { self, table } = this.#state;
    this.#state.apply(request.sender, now);
    const response = createSyncResponse(table, self, request, this.#options.maxSyncMembers);
    this.#outbox.emit({ type: 'sync-reply', requestId, answer: response });
  }

  handleResponse(
    event: Extract<MembershipEvent, { type: 'sync-answered' }>,
    now: Milliseconds,
  ): void {
    const { from, cursor, answer: response } = event;
    this.#state.apply(response.sender, now);
    // A joining node does not disseminate the table that it receives.
    for (const update of response.updates) this.#state.apply(update, now, this.#joined);
    const { self, table } = this.#state;
    const push = createSyncPush(table, self, response, cursor, this.#options.maxSyncMembers);
    if (push !== undefined) this.#outbox.emit({ type: 'sync-push', to: from, push });
    if (response.nextCursor === undefined) this.#joined = true;
    else this.request(from, response.nextCursor);
  }
}
