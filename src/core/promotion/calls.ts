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
  #isCallInProgress = false;
  /** Instance that the calls which are not settled were for. */
  #lastInstanceId: string | undefined;
  /** Calls that may have taken effect, or may yet. */
  #unsettledCalls = 0;
  #settledAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #earliestCallAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #mayIncludeEarlierLeader = false;
  /** Refusals in a row of calls for the same instance. */
  #consecutiveRefusals = 0;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
    private readonly lease: NodeLease,
    private readonly service: string,
  ) {}

  get isCallInProgress(): boolean {
    return this.#isCallInProgress;
  }

  /** Calls in a row that were refused. */
  get consecutiveRefusals(): number {
    return this.#consecutiveRefusals;
  }

  /** When the last call can take effect no more. */
  get settledAt(): Milliseconds {
    return this.#settledAt;
  }

  /** No call that was made can take effect any more. */
  get isSettled(): boolean {
    if (this.runtime.isDisabled('settled-calls')) return true;
    return !this.#isCallInProgress && this.runtime.now >= this.#settledAt;
  }

  /** The last call for this instance was refused: when that was answered, the platform would not let it lead. */
  wasLastCallRefused(instanceId: string): boolean {
    return instanceId === this.#lastInstanceId && this.#consecutiveRefusals > 0;
  }

  /** An earlier leader named this instance, and may have called for it. */
  recordEarlierCandidate(instanceId: string): void {
    const { callSettledMs, confirmFirstDelayMs } = this.runtime.timings;
    this.#lastInstanceId = instanceId;
    this.#consecutiveRefusals = 0;
    this.#mayIncludeEarlierLeader = true;
    this.#settledAt = Math.max(this.#settledAt, this.runtime.now + callSettledMs);
    // Looks before it calls again.
    this.#earliestCallAt = Math.max(this.#earliestCallAt, this.runtime.now + confirmFirstDelayMs);
  }

  /**
   * Who was called for by a leader before the store came back from a copy is not known: no other may be called for before
   * such a call can take effect no more.
   */
  recordUnnamedCalls(): void {
    this.#mayIncludeEarlierLeader = true;
    this.#settledAt = Math.max(this.#settledAt, this.runtime.era.previousCallsSettledAt);
  }

  /** The instance leads: that accounts for one of the calls. */
  recordPromoted(instanceId: string): void {
    const areAllCallsKnown = instanceId === this.#lastInstanceId && !this.#mayIncludeEarlierLeader;
    if (areAllCallsKnown && this.#unsettledCalls <= 1 && !this.#isCallInProgress) {
      this.#settledAt = Number.NEGATIVE_INFINITY;
      this.#unsettledCalls = 0;
    }
  }

  /** Calls for an instance, if that may be done now; true if a call was made. */
  call(instanceId: string): boolean {
    const { runtime, election, lease } = this;
    const { promoteTimeoutMs, promoteMinLeaseLeftMs } = runtime.timings;
    const fencingToken = election.fencingToken;
    if (this.#isCallInProgress || runtime.now < this.#earliestCallAt || fencingToken === undefined)
      return false;
    if (instanceId !== this.#lastInstanceId && !this.isSettled) return false;
    if (!election.mayAct(promoteMinLeaseLeftMs)) return false;
    if (instanceId !== this.#lastInstanceId) this.#consecutiveRefusals = 0;
    if (instanceId !== this.#lastInstanceId || this.isSettled) this.#startSeries(instanceId);
    this.#isCallInProgress = true;
    election.recordPromotionCall();
    const leaseEndsAt = runtime.isDisabled('own-clock')
      ? Number.POSITIVE_INFINITY
      : lease.validUntil;
    const endsAt = Math.min(runtime.now + promoteTimeoutMs, leaseEndsAt);
    const request = { service: this.service, instanceId, fencingToken, endsAt };
    const calledAt = runtime.now;
    runtime.promote(request, (outcome) => this.#recordOutcome(instanceId, outcome, calledAt));
    return true;
  }

  /** Refused calls count against the rate that all services share, and an instance that is down may take its time. */
  #failureRetryDelayMs(): Milliseconds {
    const { promoteBusyRetryMs, promoteRetryAfterMs } = this.runtime.timings;
    const doublings = Math.max(0, this.#consecutiveRefusals - 1);
    return Math.min(promoteRetryAfterMs, promoteBusyRetryMs * 2 ** doublings);
  }

  #startSeries(instanceId: string): void {
    this.#lastInstanceId = instanceId;
    this.#mayIncludeEarlierLeader = false;
    this.#unsettledCalls = 0;
  }

  #recordOutcome(instanceId: string, outcome: PromoteOutcome, calledAt: Milliseconds): void {
    const { now, timings } = this.runtime;
    this.#isCallInProgress = false;
    this.#consecutiveRefusals = outcome === 'refused' ? this.#consecutiveRefusals + 1 : 0;
    if (outcome === 'accepted' || outcome === 'unknown') {
      this.#unsettledCalls += 1;
      this.#settledAt = now + timings.callSettledMs;
      this.#earliestCallAt = now + timings.promoteRetryAfterMs;
    } else {
      this.#earliestCallAt = now + this.#failureRetryDelayMs();
    }
    const afterMs = Math.round(now - calledAt);
    const fields = { service: this.service, instance: instanceId, outcome, afterMs };
    this.runtime.log('info', 'promotion called', fields);
  }
}
