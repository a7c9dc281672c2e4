/**
 * Asks the members of a group whether any leads a later term, for all who wait at once: whoever asks
 * while a round is on its way waits for the next, since a round proves nothing of what came after it.
 */

import type { Position } from '../../core/position.js';
import {
  acknowledgedPosition,
  PrimaryEvidence,
  type RoundAnswer,
  type TrustedUse,
} from '../../core/promotion/evidence.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstanceControl, InstanceEntry } from '../contract.js';
import { pause } from '../within.js';
import type { ClassifyControlFailure } from './control-failure.js';

/** A member whose slots are all taken is asked again after this. */
const BUSY_PAUSE_MS = 40;

export interface TermConfirmationOptions {
  readonly control: Pick<InstanceControl, 'status'>;
  readonly classifyFailure: ClassifyControlFailure;
  /** Every member of the service that is known, also if its entry is gone. */
  readonly membersOf: (service: string) => readonly InstanceEntry[];
  /**
   * Ids of members that there are and that this node can't ask: they count as silent. Undefined while this node can't
   * tell who is a member: then nothing is proven.
   */
  readonly unseenMembersOf: (service: string) => readonly string[] | undefined;
  readonly syncReplicasOf: (service: string) => number;
  readonly now: () => Milliseconds;
  /** Rounds of one service are at least so far apart: each takes a slot at every member. */
  readonly minimumGapMs: Milliseconds;
  readonly timeoutMs: Milliseconds;
}

interface Waiter {
  readonly primary: string;
  readonly use: TrustedUse;
  readonly at: Milliseconds;
  readonly resolve: (isProven: boolean) => void;
}

export class TermConfirmation {
  readonly #evidence: PrimaryEvidence;
  readonly #waiting = new Map<string, Waiter[]>();
  readonly #planned = new Set<string>();

  constructor(private readonly options: TermConfirmationOptions) {
    this.#evidence = new PrimaryEvidence(options.minimumGapMs);
  }

  /** True if the primary could be trusted for this use when this was called. */
  confirm(service: string, primary: string, use: TrustedUse): Promise<boolean> {
    return new Promise((resolve) => {
      const waiter = { primary, use, at: this.options.now(), resolve };
      const waiting = this.#waiting.get(service);
      if (waiting === undefined) this.#waiting.set(service, [waiter]);
      else waiting.push(waiter);
      this.#plan(service);
    });
  }

  /** The position that every commit acknowledged before this call is at or before, if enough members tell theirs. */
  async acknowledgedPosition(service: string): Promise<Position | undefined> {
    const syncReplicas = this.options.syncReplicasOf(service);
    const answers = await this.#askAll(service);
    return answers && acknowledgedPosition(answers, syncReplicas);
  }

  #plan(service: string): void {
    if (this.#planned.has(service)) return;
    this.#planned.add(service);
    const now = this.options.now();
    const delayMs = this.#evidence.nextRoundAt(service, now) - now;
    if (delayMs <= 0) void this.#round(service);
    else setTimeout(() => void this.#round(service), delayMs);
  }

  async #round(service: string): Promise<void> {
    const waiters = this.#waiting.get(service) ?? [];
    this.#waiting.delete(service);
    const sentAt = this.options.now();
    this.#evidence.noteSent(service, sentAt);
    const syncReplicas = this.options.syncReplicasOf(service);
    const answers = await this.#askAll(service);
    this.#planned.delete(service);
    if (answers !== undefined) {
      for (const primary of new Set(waiters.map((waiter) => waiter.primary))) {
        this.#evidence.noteRound({ service, primary, sentAt, syncReplicas, answers });
      }
    }
    for (const { primary, use, at, resolve } of waiters) {
      resolve(this.#evidence.covers(service, primary, use, at));
    }
    if (this.#waiting.has(service)) this.#plan(service);
  }

  async #askAll(service: string): Promise<ReadonlyMap<string, RoundAnswer> | undefined> {
    const members = this.options.membersOf(service);
    const unseen = this.options.unseenMembersOf(service);
    if (unseen === undefined) return undefined;
    const answers = await Promise.all(members.map((member) => this.#ask(member)));
    return new Map([
      ...members.map(({ id }, index) => [id, answers[index] ?? 'none'] as const),
      ...unseen.map((id) => [id, 'none'] as const),
    ]);
  }

  async #ask(member: InstanceEntry): Promise<RoundAnswer> {
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
