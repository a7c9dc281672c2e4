/**
 * Elects the leader: the one node that runs promotions. The leader's key expires with that node's lease. The revision
 * at which the key was written is the fencing token, so each leader's token is higher than the last.
 */
import type { Milliseconds } from '../units.js';
import type { NodeLease } from './lease.js';
import type { Participation } from './participation.js';
import { decodeRecord, LEADER_KEY, type LeaderRecord, parseLeaderRecord } from './records.js';
import { isStoreCallError, type PromotionRuntime } from './runtime.js';
import type { StoreView } from './store-view.js';

export class Election {
  /** Called when this node becomes leader or stops being leader. */
  onChange: () => void = () => {};
  /** Lease of this node's leader key. */
  #leaseId: string | undefined;
  #fencingToken: number | undefined;
  #isAttemptScheduled = false;
  #noCandidacyUntil: Milliseconds = 0;
  #isStopped = false;
  #revisionBeingDeleted: number | undefined;
  #lastPromotionCallAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly lease: NodeLease,
    private readonly participation: Participation,
    private readonly records: StoreView,
  ) {}

  /** Fencing token; undefined if this node is not the leader as far as it knows. */
  get fencingToken(): number | undefined {
    return this.#fencingToken;
  }

  /** Whether this node is the leader and is certain to remain so for at least `marginMs`. */
  mayAct(marginMs: Milliseconds = 0): boolean {
    if (this.#fencingToken === undefined || this.#isStopped) return false;
    if (!this.#isEraSettled) return false;
    if (this.runtime.isDisabled('own-clock')) return true;
    if (this.#leaseId !== this.lease.leaseId) return false;
    return this.lease.isValid(this.runtime.now + marginMs);
  }

  /**
   * Until the store era is settled, a leader of the previous era may not know that its leadership has ended, nor may
   * nodes that registered in that era and whose registrations the backup lacks.
   */
  get #isEraSettled(): boolean {
    const { era, now } = this.runtime;
    return era.isSettled(now) || this.runtime.isDisabled('era-wait');
  }

  /** Records that a promotion call has been sent. */
  recordPromotionCall(): void {
    this.#lastPromotionCallAt = this.runtime.now;
  }

  /** False while a promotion by the next leader could follow too closely on this leader's last one. */
  get mayHandOver(): boolean {
    return this.runtime.now - this.#lastPromotionCallAt > this.runtime.timings.minHandoverDelayMs;
  }

  /** Handles a possible change of the leader's key or of this node's registration. */
  update(): void {
    const entry = this.records.get(LEADER_KEY);
    const leader = decodeRecord(entry, parseLeaderRecord);
    if (leader !== undefined && this.#isOwn(leader))
      this.#setFencingToken(entry?.modRevision, leader);
    else this.#setFencingToken(undefined);
    if (entry === undefined) this.#scheduleAttempt();
    else if (leader !== undefined && this.#isStaleOwnKey(leader))
      this.#deleteKey(entry.modRevision);
  }

  /** Gives up leadership, and does not stand for election during the cooldown. */
  resign(cooldownMs: Milliseconds, onDone: () => void = () => {}): void {
    const token = this.#fencingToken;
    this.#noCandidacyUntil = this.#isStopped
      ? Number.POSITIVE_INFINITY
      : this.runtime.now + cooldownMs;
    this.#setFencingToken(undefined);
    if (token === undefined) {
      onDone();
      return;
    }
    this.#deleteKey(token, onDone);
  }

  /** Ends this node's candidacy for good. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Deletes this node's leader key, if it still has this revision. */
  #deleteKey(modRevision: number, onDone: () => void = () => {}): void {
    if (this.#revisionBeingDeleted === modRevision) return;
    this.#revisionBeingDeleted = modRevision;
    const compares = [{ key: LEADER_KEY, modRevision }];
    this.runtime.transaction(compares, [{ type: 'delete', key: LEADER_KEY }], (answer) => {
      this.#revisionBeingDeleted = undefined;
      onDone();
      if (!isStoreCallError(answer)) return;
      this.runtime.after(this.runtime.timings.storeRetryDelayMs, () => {
        if (this.records.get(LEADER_KEY)?.modRevision === modRevision) this.#deleteKey(modRevision);
      });
    });
  }

  #isOwn({ node, incarnation }: LeaderRecord): boolean {
    const { options } = this.runtime;
    if (this.#isCandidacyPaused) return false;
    return node === options.nodeName && incarnation === options.incarnation;
  }

  get #isCandidacyPaused(): boolean {
    return this.runtime.now < this.#noCandidacyUntil;
  }

  /**
   * Whether the key is this node's but gives no one leadership: an earlier incarnation of the node wrote it, or this
   * node has resigned and a restore of the store brought the key back while its lease is still alive.
   */
  #isStaleOwnKey({ node, incarnation }: LeaderRecord): boolean {
    const { nodeName, incarnation: own } = this.runtime.options;
    if (node !== nodeName || !this.participation.isRegistered) return false;
    return incarnation !== own || this.#isCandidacyPaused;
  }

  #setFencingToken(token: number | undefined, leader?: LeaderRecord): void {
    if (token === this.#fencingToken) return;
    const isSameLease = leader !== undefined && this.#leaseId === leader.leaseId;
    const isSameLeadership = token !== undefined && this.#fencingToken !== undefined && isSameLease;
    this.#fencingToken = token;
    this.#leaseId = leader?.leaseId;
    // The key survived a restore of the store. This leader's view is the most recent one, so it keeps its state.
    if (isSameLeadership) return;
    this.runtime.log('info', token === undefined ? 'leadership lost' : 'leadership taken', {
      token,
    });
    this.onChange();
  }

  #scheduleAttempt(): void {
    if (this.#isAttemptScheduled || this.#isStopped) return;
    this.#isAttemptScheduled = true;
    const waitMs = Math.max(0, this.#noCandidacyUntil - this.runtime.now);
    const randomDelayMs = this.runtime.timings.maxElectionDelayMs * this.runtime.options.random();
    this.runtime.after(waitMs + randomDelayMs, () => {
      this.#isAttemptScheduled = false;
      this.#attempt();
    });
  }

  #attempt(): void {
    const { leaseId } = this.lease;
    if (this.#isStopped || this.records.get(LEADER_KEY) !== undefined) return;
    if (
      leaseId === undefined ||
      !this.participation.isRegistered ||
      !this.lease.isValid(this.runtime.now)
    ) {
      this.#scheduleRetry();
      return;
    }
    const { nodeName, incarnation } = this.runtime.options;
    const record: LeaderRecord = { node: nodeName, incarnation, leaseId };
    const value = JSON.stringify(record);
    const put = { type: 'put', key: LEADER_KEY, value, leaseId } as const;
    this.runtime.transaction([{ key: LEADER_KEY, modRevision: 0 }], [put], (answer) => {
      if (!isStoreCallError(answer) && answer.succeeded && leaseId === this.lease.leaseId) {
        this.records.recordOwnPut(LEADER_KEY, value, answer.revision);
      }
      if (this.records.get(LEADER_KEY) === undefined) this.#scheduleRetry();
    });
  }

  #scheduleRetry(): void {
    this.runtime.after(this.runtime.timings.storeRetryDelayMs, () => {
      if (this.records.get(LEADER_KEY) === undefined) this.#scheduleAttempt();
    });
  }
}
