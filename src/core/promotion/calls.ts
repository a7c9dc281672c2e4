/**
 * Calls of the platform's promotion for one service, by this leader. A call without an answer may
 * take effect later; while one can, no other instance may be called for, since the late one would
 * depose it and what it has acknowledged would be lost.
 */
import type { PromoteOutcome } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { Election } from './election.js';
import type { NodeLease } from './lease.js';
import type { PromotionRuntime } from './runtime.js';

export class PromotionCalls {
  #isCalling = false;
  /** Instance that the calls which are not settled were for. */
  #instanceId: string | undefined;
  /** Calls that may have taken effect, or may yet. */
  #open = 0;
  #settledAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #nextAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #isOfEarlierLeader = false;
  /** Refusals in a row of calls for the same instance. */
  #refusals = 0;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
    private readonly lease: NodeLease,
    private readonly service: string,
  ) {}

  get isCalling(): boolean {
    return this.#isCalling;
  }

  /** Calls in a row that were refused. */
  get refusals(): number {
    return this.#refusals;
  }

  /** When the last call can take effect no more. */
  get settledAt(): Milliseconds {
    return this.#settledAt;
  }

  /** No call that was made can take effect any more. */
  get isSettled(): boolean {
    if (this.runtime.isDisabled('settled-calls')) return true;
    return !this.#isCalling && this.runtime.now >= this.#settledAt;
  }

  /** The last call for this instance was refused: when that was answered, the platform would not let it lead. */
  isRefused(instanceId: string): boolean {
    return instanceId === this.#instanceId && this.#refusals > 0;
  }

  /** An earlier leader named this instance, and may have called for it. */
  noteEarlierLeader(instanceId: string): void {
    const { callSettledMs, confirmFirstDelayMs } = this.runtime.timings;
    this.#instanceId = instanceId;
    this.#refusals = 0;
    this.#isOfEarlierLeader = true;
    this.#settledAt = Math.max(this.#settledAt, this.runtime.now + callSettledMs);
    // Looks before it calls again.
    this.#nextAt = Math.max(this.#nextAt, this.runtime.now + confirmFirstDelayMs);
  }

  /**
   * Who was called for by a leader before the store came back from a copy is not known: no other may be called for before
   * such a call can take effect no more.
   */
  noteUnnamedCalls(): void {
    this.#isOfEarlierLeader = true;
    this.#settledAt = Math.max(this.#settledAt, this.runtime.era.callsSettledAt);
  }

  /** The instance leads: that accounts for one of the calls. */
  noteLeads(instanceId: string): void {
    const isWhole = instanceId === this.#instanceId && !this.#isOfEarlierLeader;
    if (isWhole && this.#open <= 1 && !this.#isCalling) {
      this.#settledAt = Number.NEGATIVE_INFINITY;
      this.#open = 0;
    }
  }

  /** Calls for an instance, if that may be done now; true if a call was made. */
  call(instanceId: string): boolean {
    const { runtime, election, lease } = this;
    const { promoteTimeoutMs, promoteMinLeaseLeftMs } = runtime.timings;
    const token = election.token;
    if (this.#isCalling || runtime.now < this.#nextAt || token === undefined) return false;
    if (instanceId !== this.#instanceId && !this.isSettled) return false;
    if (!election.mayAct(promoteMinLeaseLeftMs)) return false;
    if (instanceId !== this.#instanceId) this.#refusals = 0;
    if (instanceId !== this.#instanceId || this.isSettled) this.#begin(instanceId);
    this.#isCalling = true;
    election.noteCall();
    const latest = runtime.isDisabled('own-clock') ? Number.POSITIVE_INFINITY : lease.validUntil;
    const endsAt = Math.min(runtime.now + promoteTimeoutMs, latest);
    const request = { service: this.service, instanceId, fencingToken: token, endsAt };
    const calledAt = runtime.now;
    runtime.promote(request, (outcome) => this.#noteOutcome(instanceId, outcome, calledAt));
    return true;
  }

  /** Refused calls count against the rate that all services share, and an instance that is down may take its time. */
  #pauseAfterNothing(): Milliseconds {
    const { promoteBusyRetryMs, promoteRetryAfterMs } = this.runtime.timings;
    const doublings = Math.max(0, this.#refusals - 1);
    return Math.min(promoteRetryAfterMs, promoteBusyRetryMs * 2 ** doublings);
  }

  #begin(instanceId: string): void {
    this.#instanceId = instanceId;
    this.#isOfEarlierLeader = false;
    this.#open = 0;
  }

  #noteOutcome(instanceId: string, outcome: PromoteOutcome, calledAt: Milliseconds): void {
    const { now, timings } = this.runtime;
    this.#isCalling = false;
    this.#refusals = outcome === 'refused' ? this.#refusals + 1 : 0;
    if (outcome === 'accepted' || outcome === 'unknown') {
      this.#open += 1;
      this.#settledAt = now + timings.callSettledMs;
      this.#nextAt = now + timings.promoteRetryAfterMs;
    } else {
      this.#nextAt = now + this.#pauseAfterNothing();
    }
    const afterMs = Math.round(now - calledAt);
    const fields = { service: this.service, instance: instanceId, outcome, afterMs };
    this.runtime.log('info', 'promotion called', fields);
  }
}
