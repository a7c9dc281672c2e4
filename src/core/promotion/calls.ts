/**
 * This leader's calls to the platform's promotion endpoint for one service. A call without a response may take effect
 * later. While one can, no other instance may be promoted: the late call would replace that instance, and the commits
 * it had acknowledged would be lost.
 */
import type { PromoteOutcome } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { Election } from './election.js';
import type { InstanceIncarnation } from './incarnations.js';
import type { NodeLease } from './lease.js';
import type { PromotionRuntime } from './runtime.js';
import { UnsettledCandidates } from './unsettled-candidates.js';

export class PromotionCalls {
  /** Instances that calls of earlier leaders may still promote, also after `settledAt`. */
  readonly unsettledCandidates: UnsettledCandidates;
  #isCallInProgress = false;
  /** Candidate of the unsettled calls. */
  #lastInstanceId: string | undefined;
  /** Number of calls that may have taken effect or may still do so. */
  #unsettledCalls = 0;
  #settledAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #earliestCallAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Whether an earlier leader may have made some of the calls. */
  #mayIncludeEarlierLeader = false;
  /** Consecutive refused calls for the same instance. */
  #consecutiveRefusals = 0;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
    private readonly lease: NodeLease,
    private readonly service: string,
  ) {
    this.unsettledCandidates = new UnsettledCandidates(runtime, service);
  }

  get isCallInProgress(): boolean {
    return this.#isCallInProgress;
  }

  get consecutiveRefusals(): number {
    return this.#consecutiveRefusals;
  }

  /** Time from which no call that arrived or was recalled can take effect any more. */
  get settledAt(): Milliseconds {
    return this.#settledAt;
  }

  /** Whether no earlier call that arrived or was recalled can take effect any more. */
  get isSettled(): boolean {
    if (this.runtime.isDisabled('settled-calls')) return true;
    return !this.#isCallInProgress && this.runtime.now >= this.#settledAt;
  }

  /** Whether the last call for this instance was refused: at that time the platform would not promote it. */
  wasLastCallRefused(instanceId: string): boolean {
    return instanceId === this.#lastInstanceId && this.#consecutiveRefusals > 0;
  }

  /** An earlier leader recorded this candidate and may have called its promotion. */
  recordEarlierCandidate(candidate: InstanceIncarnation): void {
    const { callSettledMs, confirmFirstDelayMs } = this.runtime.timings;
    this.unsettledCandidates.add(candidate);
    this.#lastInstanceId = candidate.id;
    this.#consecutiveRefusals = 0;
    this.#mayIncludeEarlierLeader = true;
    this.#settledAt = Math.max(this.#settledAt, this.runtime.now + callSettledMs);
    // Time to check the candidate's role before the promotion is called again.
    this.#earliestCallAt = Math.max(this.#earliestCallAt, this.runtime.now + confirmFirstDelayMs);
  }

  /**
   * Handles promotion calls that a leader may have made before the store was restored, for a candidate that no record
   * names: no instance may be promoted until such a call can no longer take effect.
   */
  recordUnnamedCalls(): void {
    this.#mayIncludeEarlierLeader = true;
    this.#settledAt = Math.max(this.#settledAt, this.runtime.era.previousCallsSettledAt);
  }

  /** The instance is primary, which accounts for one of the calls. */
  recordPromoted(instanceId: string): void {
    const areAllCallsKnown = instanceId === this.#lastInstanceId && !this.#mayIncludeEarlierLeader;
    if (areAllCallsKnown && this.#unsettledCalls <= 1 && !this.#isCallInProgress) {
      this.#settledAt = Number.NEGATIVE_INFINITY;
      this.#unsettledCalls = 0;
    }
  }

  /** Calls the promotion of an instance if that is allowed now; returns whether a call was made. */
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

  /**
   * Delay after a call that took no effect. It grows, since refused calls count against a rate limit that all services
   * share, and an instance that is down may take long to return.
   */
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
