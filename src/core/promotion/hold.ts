/**
 * Keeps the members of a group from taking part in further commits under the old primary: replicas
 * are held, whoever leads is demoted. Tells what each has received; answers count for a while only,
 * since a restart ends a hold.
 */
import type { InstanceEntry, InstanceStatus } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { MemberObservation } from './candidate.js';
import type { ControlAction, ControlFailure } from './contract.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

const BUSY_RETRY_DELAY_MS = 40;

interface MemberState {
  readonly entry: InstanceEntry;
  status: InstanceStatus | undefined;
  /** When the call that gave this status was sent: by a late process, answers are read long after they were given. */
  sentAt: Milliseconds;
  action: ControlAction;
  /** Number of the call that was sent last. */
  callCount: number;
  /** When a call was last answered or failed. */
  lastCallEndedAt: Milliseconds;
}

export interface HoldOptions {
  readonly oldPrimary: InstanceEntry | undefined;
  readonly replicas: readonly InstanceEntry[];
  /** Highest term known. */
  readonly term: number;
  readonly isPresent: (id: string) => boolean;
  /** This node is the leader yet: a deposed one would hold what the next has let go. */
  readonly mayAct: () => boolean;
  /** Called with each answer. */
  readonly onResponse: () => void;
}

export class GroupHold {
  readonly #scope: Scope;
  #members: MemberState[];
  #isStarted = false;
  #term: number;
  #lastResponseAt: Milliseconds;
  /** What was asked before this does not count. */
  #validFrom: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly options: HoldOptions,
  ) {
    this.#scope = new Scope(runtime);
    this.#term = options.term;
    this.#lastResponseAt = runtime.now;
    const oldPrimary =
      options.oldPrimary === undefined ? [] : [memberState(options.oldPrimary, 'demote')];
    this.#members = [
      ...oldPrimary,
      ...options.replicas.map((entry) => memberState(entry, 'pause')),
    ];
  }

  /** Last time that any member answered. */
  get lastResponseAt(): Milliseconds {
    return this.#lastResponseAt;
  }

  start(): void {
    this.#isStarted = true;
    for (const member of this.#members) this.#callMember(member);
  }

  stop(): void {
    this.#scope.end();
  }

  /**
   * Nobody uses the old primary any more, so that what members tell from now on covers all that was acknowledged,
   * also where a restart ended a hold before. Asks them all at once.
   */
  recordOldPrimaryUnused(): void {
    this.#validFrom = this.runtime.now;
    if (this.#isStarted) for (const member of this.#members) this.#callMember(member);
  }

  /** The replicas that there are now: some may have joined, or have been replaced. */
  updateReplicas(replicas: readonly InstanceEntry[]): void {
    const oldPrimaryId = this.options.oldPrimary?.id;
    this.#members = this.#members.filter(({ entry }) => {
      return entry.id === oldPrimaryId || replicas.some(({ id }) => id === entry.id);
    });
    for (const replica of replicas) {
      if (this.#members.some(({ entry }) => entry.id === replica.id)) continue;
      const member = memberState(replica, 'pause');
      this.#members.push(member);
      if (this.#isStarted) this.#callMember(member);
    }
  }

  /** What is known of a member now. */
  observationOf(id: string): MemberObservation | undefined {
    const member = this.#members.find(({ entry }) => entry.id === id);
    if (member === undefined) return undefined;
    const { entry, status } = member;
    const recent = this.#isRecent(member) ? status : undefined;
    return {
      entry,
      received: recent?.received,
      isStopped: recent !== undefined && this.#isStopped(member, recent),
      isRegistered: this.options.isPresent(id),
      isReachable: recent !== undefined,
    };
  }

  /** True if nothing was heard of a member though it was lately tried. */
  isUnresponsive(id: string): boolean {
    const member = this.#members.find(({ entry }) => entry.id === id);
    const { now, timings } = this.runtime;
    if (member === undefined || now - member.lastCallEndedAt > timings.evidenceMaxAgeMs)
      return false;
    return !this.#isRecent(member);
  }

  #isRecent({ sentAt: askedAt }: MemberState): boolean {
    const { now, timings } = this.runtime;
    return askedAt >= this.#validFrom && now - askedAt <= timings.evidenceMaxAgeMs;
  }

  /** A member that answered as the leader of a later term than the given one. */
  laterPrimary(term: number): { entry: InstanceEntry; status: InstanceStatus } | undefined {
    for (const { entry, status } of this.#members) {
      if (status?.role === 'primary' && status.term > term) return { entry, status };
    }
    return undefined;
  }

  #isStopped({ entry }: MemberState, status: InstanceStatus): boolean {
    if (status.role !== 'replica') return false;
    return entry.id === this.options.oldPrimary?.id || status.heldTerm > 0;
  }

  #callMember(member: MemberState): void {
    const { holdRetryPeriodMs } = this.runtime.timings;
    if (!this.#members.includes(member)) return;
    if (!this.options.mayAct()) {
      const { callCount: calls } = member;
      this.#scope.after(holdRetryPeriodMs, () => {
        if (calls === member.callCount) this.#callMember(member);
      });
      return;
    }
    const term = this.#term + 1;
    const { action } = member;
    const sentAt = this.runtime.now;
    member.callCount += 1;
    const call = member.callCount;
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      this.#recordResponse(member, answer, sentAt);
      if (call === member.callCount) {
        member.lastCallEndedAt = this.runtime.now;
        const waitMs = answer === 'busy' ? BUSY_RETRY_DELAY_MS : holdRetryPeriodMs;
        this.#scope.after(waitMs, () => {
          if (call === member.callCount) this.#callMember(member);
        });
      }
      this.options.onResponse();
    });
    this.runtime.control(action, member.entry, action === 'status' ? 0 : term, onAnswer);
  }

  #recordResponse(
    member: MemberState,
    answer: InstanceStatus | ControlFailure,
    sentAt: Milliseconds,
  ): void {
    if (answer === 'busy' || answer === 'rejected') this.#lastResponseAt = this.runtime.now;
    if (answer === 'rejected') member.action = 'status';
    if (typeof answer === 'string') return;
    this.#lastResponseAt = this.runtime.now;
    if (sentAt < member.sentAt) return;
    // Of one that leads: it is the new one, and the others are about to follow it.
    if (answer.role === 'replica') this.#term = Math.max(this.#term, answer.term);
    member.status = answer;
    member.sentAt = sentAt;
    member.action = this.#nextAction(member, answer);
  }

  #nextAction(member: MemberState, status: InstanceStatus): ControlAction {
    if (status.role === 'primary') return status.term > this.options.term ? 'status' : 'demote';
    return member.entry.id === this.options.oldPrimary?.id ? 'status' : 'pause';
  }
}

function memberState(entry: InstanceEntry, action: ControlAction): MemberState {
  const never = Number.NEGATIVE_INFINITY;
  return { entry, status: undefined, sentAt: never, lastCallEndedAt: never, action, callCount: 0 };
}
