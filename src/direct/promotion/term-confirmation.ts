/**
 * Asks the members of a group whether any leads a later term, or is held for one, for all who wait at once: whoever
 * asks while a round is on its way waits for the next, since a round proves nothing of what came after it.
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

/** A member whose slots are all taken is asked again after this. */
const BUSY_PAUSE_MS = 40;
/**
 * A round speaks for writes that are sent within this time after it: each takes a slot at every member. What is
 * acknowledged is looked at once more, so that a longer time costs callers no commit, only answers in doubt.
 */
const AHEAD_MAX_AGE_MS: Milliseconds = 100;

export interface TermConfirmationOptions {
  readonly control: Pick<InstanceControl, 'status'>;
  readonly classifyFailure: ClassifyControlFailure;
  /** A replica is held for this term, which may be promoted in the primary's place. */
  readonly onHeld?: (primary: InstanceEntry, term: number) => void;
  /** Every member of the service that is known, also if its entry is gone. */
  readonly membersOf: (service: string) => readonly InstanceEntry[];
  /**
   * Ids of members that there are and that this node can't ask: they count as silent. Undefined while this node can't
   * tell who is a member: then nothing is proven.
   */
  readonly unseenMembersOf: (service: string) => readonly string[] | undefined;
  /** Whether whoever joined lately would be known; by default it would. */
  readonly areMembersCurrent?: (service: string) => boolean;
  readonly syncReplicasOf: (service: string) => number;
  readonly now: () => Milliseconds;
  /** Rounds of one service are at least so far apart: each takes a slot at every member. */
  readonly minimumGapMs: Milliseconds;
  readonly timeoutMs: Milliseconds;
}

/** What the members answered, all asked at once. */
interface Round {
  readonly sentAt: Milliseconds;
  readonly endedAt: Milliseconds;
  readonly syncReplicas: number;
  readonly areMembersCurrent: boolean;
  readonly responses: MemberResponses;
}

/** Undefined: nobody could be asked. */
type Waiter = (round: Round | undefined) => void;

export class TermConfirmation {
  readonly #lastSentAt = new Map<string, Milliseconds>();
  readonly #waiting = new Map<string, Waiter[]>();
  readonly #lastRounds = new Map<string, Round>();
  readonly #toldOfHold = new WeakSet<Round>();
  readonly #planned = new Set<string>();

  constructor(private readonly options: TermConfirmationOptions) {}

  /** True if the primary could be trusted for this use when this was called. */
  async confirm(service: string, primary: string, use: TrustedUse): Promise<boolean> {
    const round = await this.#nextRound(service);
    return round !== undefined && provesPrimary({ service, primary, ...round }, use);
  }

  /** What the members say of commits that the primary had acknowledged before this call; of one, by its position. */
  async judge(service: string, primary: string, position?: Position): Promise<CommitVerdict> {
    const round = await this.#nextRound(service);
    if (round === undefined) return 'unknown';
    this.#tellOfHold(service, primary, round);
    return judgeCommits({ primary, ...round }, position);
  }

  /** What they say of a write that is sent now, by a round that is hardly over if there is one. */
  async judgeAhead(service: string, primary: string): Promise<CommitVerdict> {
    const now = this.options.now();
    const last = this.#lastRounds.get(service);
    if (last !== undefined) {
      const verdict = judgeCommits({ primary, ...last });
      // A refusal does no harm by being old, and a round with a silent member takes long.
      const from = isSafe(verdict) ? last.sentAt : last.endedAt;
      if (now - from <= AHEAD_MAX_AGE_MS) return verdict;
    }
    return this.judge(service, primary);
  }

  /** Once a round, however many wait for it. */
  #tellOfHold(service: string, primary: string, round: Round): void {
    if (this.#toldOfHold.has(round)) return;
    this.#toldOfHold.add(round);
    const term = termOfHeldReplica({ primary, ...round });
    const instance = this.options.membersOf(service).find(({ id }) => id === primary);
    if (term !== undefined && instance !== undefined) this.options.onHeld?.(instance, term);
  }

  /** The position that every commit acknowledged before this call is at or before, if enough members tell theirs. */
  async acknowledgedPosition(service: string): Promise<Position | undefined> {
    const syncReplicas = this.options.syncReplicasOf(service);
    const answers = await this.#askAll(service);
    return answers && acknowledgedPosition(answers, syncReplicas);
  }

  #nextRound(service: string): Promise<Round | undefined> {
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(service);
      if (waiting === undefined) this.#waiting.set(service, [resolve]);
      else waiting.push(resolve);
      this.#plan(service);
    });
  }

  #plan(service: string): void {
    if (this.#planned.has(service)) return;
    this.#planned.add(service);
    const { now, minimumGapMs } = this.options;
    const lastSentAt = this.#lastSentAt.get(service) ?? Number.NEGATIVE_INFINITY;
    const delayMs = lastSentAt + minimumGapMs - now();
    if (delayMs <= 0) void this.#round(service);
    else setTimeout(() => void this.#round(service), delayMs);
  }

  async #round(service: string): Promise<void> {
    const waiters = this.#waiting.get(service) ?? [];
    this.#waiting.delete(service);
    const sentAt = this.options.now();
    this.#lastSentAt.set(service, sentAt);
    const syncReplicas = this.options.syncReplicasOf(service);
    const areMembersCurrent = this.#areMembersCurrent(service);
    const responses = await this.#askAll(service);
    this.#planned.delete(service);
    const endedAt = this.options.now();
    const round = responses && { sentAt, endedAt, syncReplicas, areMembersCurrent, responses };
    if (round !== undefined) this.#lastRounds.set(service, round);
    for (const resolve of waiters) resolve(round);
    if (this.#waiting.has(service)) this.#plan(service);
  }

  #areMembersCurrent(service: string): boolean {
    return this.options.areMembersCurrent?.(service) ?? true;
  }

  async #askAll(service: string): Promise<MemberResponses | undefined> {
    const members = this.options.membersOf(service);
    const unseen = this.options.unseenMembersOf(service);
    if (unseen === undefined) return undefined;
    const answers = await Promise.all(members.map((member) => this.#ask(member)));
    return new Map([
      ...members.map(({ id }, index) => [id, answers[index] ?? 'none'] as const),
      ...unseen.map((id) => [id, 'none'] as const),
    ]);
  }

  async #ask(member: InstanceEntry): Promise<MemberResponse> {
    const { control, classifyFailure, timeoutMs, now } = this.options;
    const endsAt = now() + timeoutMs;
    for (;;) {
      const answer = await control.status(member, Math.max(1, endsAt - now()));
      if (answer.isOk()) return answer.value;
      const failure = classifyFailure(answer.error);
      if (failure === 'refused') return 'refused';
      if (failure !== 'busy' || now() >= endsAt) return 'none';
      await pause(BUSY_PAUSE_MS);
    }
  }
}
