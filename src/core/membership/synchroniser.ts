/**
 * Joining and periodic anti-entropy: asks one node at a time for what differs, and answers others.
 * A node is joined once a whole table was compared. The period then doubles up to its maximum, so
 * that a starting fleet converges fast and a quiet one spends little.
 */
import type { Milliseconds } from '../units.js';
import { answerSync, pushAfterAnswer } from './anti-entropy.js';
import type { Chance } from './chance.js';
import type { MembershipEvent, MembershipOptions, NodeAddress } from './contract.js';
import type { MembershipKnowledge } from './knowledge.js';
import type { Outbox } from './outbox.js';

const PERIOD_GROWTH = 2;

/** Anti-entropy with one member at a time. */
export class Synchroniser {
  readonly #knowledge: MembershipKnowledge;
  readonly #outbox: Outbox;
  readonly #options: MembershipOptions;
  readonly #chance: Chance;
  #joined = false;
  #periodMs: Milliseconds;
  #nextSyncAt = 0;

  constructor(
    knowledge: MembershipKnowledge,
    outbox: Outbox,
    options: MembershipOptions,
    chance: Chance,
  ) {
    this.#knowledge = knowledge;
    this.#outbox = outbox;
    this.#options = options;
    this.#chance = chance;
    this.#periodMs = options.probePeriodMs;
  }

  /** True once another member's whole table was taken in, or there was nobody to ask. */
  get isJoined(): boolean {
    return this.#joined;
  }

  get nextSyncAt(): Milliseconds {
    return this.#nextSyncAt;
  }

  /** Begins the periodic exchange with this node; undefined if there is none. */
  start(target: NodeAddress | undefined, now: Milliseconds): void {
    this.#nextSyncAt = now + this.#chance.jittered(this.#periodMs);
    if (this.#joined) {
      this.#periodMs = Math.min(this.#options.syncPeriodMs, this.#periodMs * PERIOD_GROWTH);
    }
    if (target === undefined) this.#joined = true;
    else this.request(target, 0);
  }

  /** Asks for what differs from bucket `cursor` on. */
  request(to: NodeAddress, cursor: number): void {
    const { self, table } = this.#knowledge;
    const request = { sender: self, digests: table.digests(), cursor };
    this.#outbox.emit({ type: 'sync', to: { host: to.host, peerPort: to.peerPort }, request });
  }

  onRequested(
    event: Extract<MembershipEvent, { type: 'sync-requested' }>,
    now: Milliseconds,
  ): void {
    const { requestId, request } = event;
    const { self, table } = this.#knowledge;
    this.#knowledge.apply(request.sender, now);
    const answer = answerSync(table, self, request, this.#options.maxSyncMembers);
    this.#outbox.emit({ type: 'sync-reply', requestId, answer });
  }

  onAnswered(event: Extract<MembershipEvent, { type: 'sync-answered' }>, now: Milliseconds): void {
    const { from, cursor, answer } = event;
    this.#knowledge.apply(answer.sender, now);
    // A joining node does not repeat the table that it is given.
    for (const update of answer.updates) this.#knowledge.apply(update, now, this.#joined);
    const { self, table } = this.#knowledge;
    const push = pushAfterAnswer(table, self, answer, cursor, this.#options.maxSyncMembers);
    if (push !== undefined) this.#outbox.emit({ type: 'sync-push', to: from, push });
    if (answer.nextCursor === undefined) this.#joined = true;
    else this.request(from, answer.nextCursor);
  }
}
