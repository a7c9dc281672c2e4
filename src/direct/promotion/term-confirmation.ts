/**
 * Queries the members of a group whether any is the primary of a later term, or is held (paused) for one. One round, that
 * is one query sent to all members at once, serves all waiting calls. A call made while a round is in flight waits for the
 * next one, since a round proves nothing about what came after it was sent.
 */

import type { Position } from '../../core/position.js';
import {
  type CommitVerdict,
  isSafe,
  judgeCommits,
  type MemberResponse,
  type MemberResponses,
  termOfHeldReplica,
} from '../../core/promotion/commit-verdict.js';
import {
  acknowledgedPosition,
  provesPrimary,
  type TrustedUse,
} from '../../core/promotion/evidence.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstanceControl, InstanceEntry } from '../contract.js';
import { pause } from '../within.js';
import type { ClassifyControlFailure } from './control-failure.js';

/** Delay before the next query to a member whose slots were all busy. */
const BUSY_RETRY_DELAY_MS = 40;
/**
 * A round is also valid for writes sent within this time after it, since each round takes a slot at every member. The
 * members judge each acknowledged commit again, so that a longer time loses no commit but leaves more of them in doubt.
 */
const MAX_ROUND_AGE_MS: Milliseconds = 100;

export interface TermConfirmationOptions {
  readonly control: Pick<InstanceControl, 'status'>;
  readonly classifyFailure: ClassifyControlFailure;
  /** Called when a replica is held for `term`: it may be promoted in the primary's place. */
  readonly onHeld?: (primary: InstanceEntry, term: number) => void;
  /** Every known member of the service, even if its registration is gone. */
  readonly membersOf: (service: string) => readonly InstanceEntry[];
  /**
   * Ids of members that this node can't query: they count as unresponsive. Undefined while this node does not know the
   * members: then nothing is proven.
   */
  readonly membersWithoutAddressOf: (service: string) => readonly string[] | undefined;
  /** Whether this node knows every member that has joined until now; true by default. */
  readonly areMembersCurrent?: () => boolean;
  readonly syncReplicasOf: (service: string) => number;
  readonly now: () => Milliseconds;
  /** Minimum interval between rounds of one service, since each takes a slot at every member. */
  readonly minRoundIntervalMs: Milliseconds;
  readonly timeoutMs: Milliseconds;
}

/** The members' responses to one query that was sent to all of them at once. */
interface Round {
  readonly sentAt: Milliseconds;
  readonly endedAt: Milliseconds;
  readonly syncReplicas: number;
  readonly areMembersCurrent: boolean;
  readonly responses: MemberResponses;
}

/** Called with undefined if no member could be queried. */
type Waiter = (round: Round | undefined) => void;

export class TermConfirmation {
  readonly #lastSentAt = new Map<string, Milliseconds>();
  readonly #waiting = new Map<string, Waiter[]>();
  readonly #lastRounds = new Map<string, Round>();
  readonly #roundsWithHoldReported = new WeakSet<Round>();
  readonly #scheduled = new Set<string>();

  constructor(private readonly options: TermConfirmationOptions) {}

  /** True if the primary could be trusted for this use when this was called. */
  async confirm(service: string, primary: string, use: TrustedUse): Promise<boolean> {
    const round = await this.#nextRound(service);
    return round !== undefined && provesPrimary({ service, primary, ...round }, use);
  }

  /** The members' verdict on the commits that the primary acknowledged before this call, or on the one at `position`. */
  async judge(service: string, primary: string, position?: Position): Promise<CommitVerdict> {
    const round = await this.#nextRound(service);
    if (round === undefined) return 'unknown';
    this.#reportHold(service, primary, round);
    return judgeCommits({ primary, ...round }, position);
  }

  /** The members' verdict on a write to be sent now; from the last round if it is recent enough. */
  async judgeWrite(service: string, primary: string): Promise<CommitVerdict> {
    const now = this.options.now();
    const last = this.#lastRounds.get(service);
    if (last !== undefined) {
      const verdict = judgeCommits({ primary, ...last });
      // An old refusal does no harm, and a round with an unresponsive member takes long.
      const validSince = isSafe(verdict) ? last.sentAt : last.endedAt;
      if (now - validSince <= MAX_ROUND_AGE_MS) return verdict;
    }
    return this.judge(service, primary);
  }

  /** Calls `onHeld` at most once per round, however many calls wait for it. */
  #reportHold(service: string, primary: string, round: Round): void {
    if (this.#roundsWithHoldReported.has(round)) return;
    this.#roundsWithHoldReported.add(round);
    const term = termOfHeldReplica({ primary, ...round });
    const instance = this.options.membersOf(service).find(({ id }) => id === primary);
    if (term !== undefined && instance !== undefined) this.options.onHeld?.(instance, term);
  }

  /** A position at or after every commit acknowledged before this call; undefined if too few members respond. */
  async acknowledgedPosition(service: string): Promise<Position | undefined> {
    const syncReplicas = this.options.syncReplicasOf(service);
    const responses = await this.#queryAll(service);
    return responses && acknowledgedPosition(responses, syncReplicas);
  }

  #nextRound(service: string): Promise<Round | undefined> {
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(service);
      if (waiting === undefined) this.#waiting.set(service, [resolve]);
      else waiting.push(resolve);
      this.#scheduleRound(service);
    });
  }

  #scheduleRound(service: string): void {
    if (this.#scheduled.has(service)) return;
    this.#scheduled.add(service);
    const { now, minRoundIntervalMs } = this.options;
    const lastSentAt = this.#lastSentAt.get(service) ?? Number.NEGATIVE_INFINITY;
    const delayMs = lastSentAt + minRoundIntervalMs - now();
    if (delayMs <= 0) void this.#runRound(service);
    else setTimeout(() => void this.#runRound(service), delayMs);
  }

  async #runRound(service: string): Promise<void> {
    const waiters = this.#waiting.get(service) ?? [];
    this.#waiting.delete(service);
    const sentAt = this.options.now();
    this.#lastSentAt.set(service, sentAt);
    const syncReplicas = this.options.syncReplicasOf(service);
    const areMembersCurrent = this.options.areMembersCurrent?.() ?? true;
    const responses = await this.#queryAll(service);
    this.#scheduled.delete(service);
    const endedAt = this.options.now();
    const round = responses && { sentAt, endedAt, syncReplicas, areMembersCurrent, responses };
    if (round !== undefined) this.#lastRounds.set(service, round);
    for (const resolve of waiters) resolve(round);
    if (this.#waiting.has(service)) this.#scheduleRound(service);
  }

  async #queryAll(service: string): Promise<MemberResponses | undefined> {
    const members = this.options.membersOf(service);
    const withoutAddress = this.options.membersWithoutAddressOf(service);
    if (withoutAddress === undefined) return undefined;
    const responses = await Promise.all(members.map((member) => this.#query(member)));
    return new Map([
      ...members.map(({ id }, index) => [id, responses[index] ?? 'none'] as const),
      ...withoutAddress.map((id) => [id, 'none'] as const),
    ]);
  }

  async #query(member: InstanceEntry): Promise<MemberResponse> {
    const { control, classifyFailure, timeoutMs, now } = this.options;
    const endsAt = now() + timeoutMs;
    for (;;) {
      const response = await control.status(member, Math.max(1, endsAt - now()));
      if (response.isOk()) return response.value;
      const failure = classifyFailure(response.error);
      if (failure === 'refused') return 'refused';
      if (failure !== 'busy' || now() >= endsAt) return 'none';
      await pause(BUSY_RETRY_DELAY_MS);
    }
  }
}
