/**
 * Which node holds the duty of promotions. The leader's key hangs on that node's lease; the revision
 * at which it was written is the fencing token, and so grows with every holder.
 */
import type { Milliseconds } from '../units.js';
import type { NodeLease } from './lease.js';
import type { Participation } from './participation.js';
import { decodeRecord, LEADER_KEY, type LeaderRecord, parseLeaderRecord } from './records.js';
import { isStoreCallError, type PromotionRuntime } from './runtime.js';
import type { StoreView } from './store-view.js';

export class Election {
  /** Called when this node has become the leader, or is it no longer. */
  onChange: () => void = () => {};
  /** Lease under which this node took the lead. */
  #leaseId: string | undefined;
  #token: number | undefined;
  #attemptPlanned = false;
  #abstainUntil: Milliseconds = 0;
  #stopped = false;
  #removing: number | undefined;
  #calledAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly lease: NodeLease,
    private readonly participation: Participation,
    private readonly records: StoreView,
  ) {}

  /** Fencing token, if this node is the leader as far as it knows. */
  get token(): number | undefined {
    return this.#token;
  }

  /** True if this node is the leader, and will surely be it for `marginMs` yet. */
  mayAct(marginMs: Milliseconds = 0): boolean {
    if (this.#token === undefined || this.#stopped) return false;
    if (!this.#isEraSettled) return false;
    if (this.runtime.isDisabled('own-clock')) return true;
    if (this.#leaseId !== this.lease.leaseId) return false;
    return this.lease.isValid(this.runtime.now + marginMs);
  }

  /** A holder of the era before may not have heard of its end, nor nodes that registered then and that the copy lacks. */
  get #isEraSettled(): boolean {
    const { era, now } = this.runtime;
    return era.isSettled(now) || this.runtime.isDisabled('era-wait');
  }

  /** A call of the promotion has begun. */
  noteCall(): void {
    this.#calledAt = this.runtime.now;
  }

  /** False while a promotion by the next holder would follow too soon upon one by this. */
  get mayHandOn(): boolean {
    return this.runtime.now - this.#calledAt > this.runtime.timings.minHandoverDelayMs;
  }

  /** The leader's key or this node's registration may have changed. */
  update(): void {
    const entry = this.records.get(LEADER_KEY);
    const leader = decodeRecord(entry, parseLeaderRecord);
    if (leader !== undefined && this.#isOwn(leader)) this.#setToken(entry?.modRevision, leader);
    else this.#setToken(undefined);
    if (entry === undefined) this.#planAttempt();
    else if (leader !== undefined && this.#isLeftOver(leader)) this.#remove(entry.modRevision);
  }

  /** Gives up the lead, and does not stand for it for a while. */
  resign(abstainMs: Milliseconds, onDone: () => void = () => {}): void {
    const token = this.#token;
    this.#abstainUntil = this.#stopped ? Number.POSITIVE_INFINITY : this.runtime.now + abstainMs;
    this.#setToken(undefined);
    if (token === undefined) {
      onDone();
      return;
    }
    this.#remove(token, onDone);
  }

  /** This node will not stand any more. */
  stop(): void {
    this.#stopped = true;
  }

  /** Deletes the leader's key of this revision, which is this node's. */
  #remove(modRevision: number, onDone: () => void = () => {}): void {
    if (this.#removing === modRevision) return;
    this.#removing = modRevision;
    const compares = [{ key: LEADER_KEY, modRevision }];
    this.runtime.transaction(compares, [{ type: 'delete', key: LEADER_KEY }], (answer) => {
      this.#removing = undefined;
      onDone();
      if (!isStoreCallError(answer)) return;
      this.runtime.after(this.runtime.timings.storeRetryDelayMs, () => {
        if (this.records.get(LEADER_KEY)?.modRevision === modRevision) this.#remove(modRevision);
      });
    });
  }

  #isOwn({ node, incarnation }: LeaderRecord): boolean {
    const { options } = this.runtime;
    if (this.#isAbstaining) return false;
    return node === options.nodeName && incarnation === options.incarnation;
  }

  get #isAbstaining(): boolean {
    return this.runtime.now < this.#abstainUntil;
  }

  /**
   * Nobody holds the lead by this key: the process that wrote it is gone, and this one has taken its place, or this one
   * has resigned and a return of the store brought the key back, on a lease that lives on.
   */
  #isLeftOver({ node, incarnation }: LeaderRecord): boolean {
    const { nodeName, incarnation: own } = this.runtime.options;
    if (node !== nodeName || !this.participation.isRegistered) return false;
    return incarnation !== own || this.#isAbstaining;
  }

  #setToken(token: number | undefined, leader?: LeaderRecord): void {
    if (token === this.#token) return;
    const isSameHold = leader !== undefined && this.#leaseId === leader.leaseId;
    const isHeld = token !== undefined && this.#token !== undefined && isSameHold;
    this.#token = token;
    this.#leaseId = leader?.leaseId;
    // The key outlived a return of the store from a copy: what this holder knows of its duty is the newest there is.
    if (isHeld) return;
    this.runtime.log('info', token === undefined ? 'leadership lost' : 'leadership taken', {
      token,
    });
    this.onChange();
  }

  #planAttempt(): void {
    if (this.#attemptPlanned || this.#stopped) return;
    this.#attemptPlanned = true;
    const waitMs = Math.max(0, this.#abstainUntil - this.runtime.now);
    const spreadMs = this.runtime.timings.maxElectionDelayMs * this.runtime.options.random();
    this.runtime.after(waitMs + spreadMs, () => {
      this.#attemptPlanned = false;
      this.#attempt();
    });
  }

  #attempt(): void {
    const { leaseId } = this.lease;
    if (this.#stopped || this.records.get(LEADER_KEY) !== undefined) return;
    if (
      leaseId === undefined ||
      !this.participation.isRegistered ||
      !this.lease.isValid(this.runtime.now)
    ) {
      this.#planLater();
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
      if (this.records.get(LEADER_KEY) === undefined) this.#planLater();
    });
  }

  #planLater(): void {
    this.runtime.after(this.runtime.timings.storeRetryDelayMs, () => {
      if (this.records.get(LEADER_KEY) === undefined) this.#planAttempt();
    });
  }
}
