/**
 * Keeps the members of a group from taking part in further commits under the old primary: holds the replicas and
 * demotes the primary. Collects the log position that each member has received. Responses expire after a while, since a
 * restart ends a hold.
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
  /** Time of the first status, or since which the connection has been open on which a status came. */
  respondingSince: Milliseconds;
  /** Time at which the call that returned this status was sent: a stalled process may read the response much later. */
  sentAt: Milliseconds;
  action: ControlAction;
  /** Number of calls sent; identifies the latest one. */
  callCount: number;
  /** Time at which the latest call succeeded or failed. */
  lastCallEndedAt: Milliseconds;
  /** Whether the latest call got a response; also true if the member was busy or did not carry the call out. */
  hasResponded: boolean;
}

export interface HoldOptions {
  readonly oldPrimary: InstanceEntry | undefined;
  readonly replicas: readonly InstanceEntry[];
  /** Highest known term. */
  readonly term: number;
  readonly isPresent: (id: string) => boolean;
  /** Whether responses since then are proven to come from this incarnation of the instance. */
  readonly isConfirmed: (entry: InstanceEntry, respondingSince: Milliseconds) => boolean;
  /** Whether this node is still the leader: a former leader would hold replicas that the next one has resumed. */
  readonly mayAct: () => boolean;
  /** Called after each response or failure. */
  readonly onResponse: () => void;
}

export class GroupHold {
  readonly #scope: Scope;
  #members: MemberState[];
  #isStarted = false;
  #term: number;
  #lastResponseAt: Milliseconds;
  /** Responses to calls sent before this time don't count. */
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

  /** Last time at which any member responded. */
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
   * Notes that no node uses the old primary any more: from now on the members' positions cover every acknowledged
   * commit, even where a restart has ended an earlier hold. Calls all members at once.
   */
  recordOldPrimaryUnused(): void {
    this.#validFrom = this.runtime.now;
    if (this.#isStarted) for (const member of this.#members) this.#callMember(member);
  }

  /** Updates the list of replicas: some may have joined or been replaced. */
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

  /** What is currently known about a member. */
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
      isConfirmed: this.options.isConfirmed(entry, member.respondingSince),
    };
  }

  /** Whether the latest call to a member ended recently and got no response of any kind. */
  isUnresponsive(id: string): boolean {
    const member = this.#members.find(({ entry }) => entry.id === id);
    const { now, timings } = this.runtime;
    if (member === undefined || now - member.lastCallEndedAt > timings.evidenceMaxAgeMs)
      return false;
    return !member.hasResponded && !this.#isRecent(member);
  }

  #isRecent({ sentAt }: MemberState): boolean {
    const { now, timings } = this.runtime;
    return sentAt >= this.#validFrom && now - sentAt <= timings.evidenceMaxAgeMs;
  }

  /** Member that has reported itself as primary of a later term. */
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
      const { callCount } = member;
      this.#scope.after(holdRetryPeriodMs, () => {
        if (callCount === member.callCount) this.#callMember(member);
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
        member.hasResponded = answer !== 'refused' && answer !== 'silent';
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
    const { connectedSince = this.#lastResponseAt } = answer;
    member.respondingSince = Math.min(member.respondingSince, connectedSince);
    if (sentAt < member.sentAt) return;
    // A primary's term is not adopted: a later primary is the new one, and the others are about to follow it.
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
  return {
    ...{ entry, action, status: undefined, respondingSince: Number.POSITIVE_INFINITY },
    ...{ sentAt: never, lastCallEndedAt: never, hasResponded: false, callCount: 0 },
  };
}
