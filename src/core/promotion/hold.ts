/**
 * Keeps the members of a group from taking part in further commits under the old primary: replicas
 * are held, whoever leads is demoted. Tells what each has received; answers count for a while only,
 * since a restart ends a hold.
 */
import type { InstanceEntry, InstanceStatus } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { MemberFinding } from './candidate.js';
import type { ControlAction, ControlFailure } from './contract.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

const BUSY_RETRY_MS = 40;

interface MemberState {
  readonly entry: InstanceEntry;
  status: InstanceStatus | undefined;
  /** When the call that gave this status was sent: by a late process, answers are read long after they were given. */
  askedAt: Milliseconds;
  action: ControlAction;
  /** Number of the call that was sent last. */
  calls: number;
  /** When a call was last answered or failed. */
  triedAt: Milliseconds;
}

export interface HoldOptions {
  readonly from: InstanceEntry | undefined;
  readonly replicas: readonly InstanceEntry[];
  /** Highest term known. */
  readonly term: number;
  readonly isPresent: (id: string) => boolean;
  /** This node is the leader yet: a deposed one would hold what the next has let go. */
  readonly mayAct: () => boolean;
  /** Called with each answer. */
  readonly onFinding: () => void;
}

export class GroupHold {
  readonly #scope: Scope;
  #members: MemberState[];
  #isStarted = false;
  #term: number;
  #heardAt: Milliseconds;
  /** What was asked before this does not count. */
  #countsFrom: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly options: HoldOptions,
  ) {
    this.#scope = new Scope(runtime);
    this.#term = options.term;
    this.#heardAt = runtime.now;
    const from = options.from === undefined ? [] : [memberState(options.from, 'demote')];
    this.#members = [...from, ...options.replicas.map((entry) => memberState(entry, 'pause'))];
  }

  /** Last time that any member answered. */
  get heardAt(): Milliseconds {
    return this.#heardAt;
  }

  start(): void {
    this.#isStarted = true;
    for (const member of this.#members) this.#secure(member);
  }

  stop(): void {
    this.#scope.end();
  }

  /**
   * Nobody uses the old primary any more, so that what members tell from now on covers all that was acknowledged,
   * also where a restart ended a hold before. Asks them all at once.
   */
  noteFree(): void {
    this.#countsFrom = this.runtime.now;
    if (this.#isStarted) for (const member of this.#members) this.#secure(member);
  }

  /** The replicas that there are now: some may have joined, or have been replaced. */
  noteReplicas(replicas: readonly InstanceEntry[]): void {
    const fromId = this.options.from?.id;
    this.#members = this.#members.filter(({ entry }) => {
      return entry.id === fromId || replicas.some(({ id }) => id === entry.id);
    });
    for (const replica of replicas) {
      if (this.#members.some(({ entry }) => entry.id === replica.id)) continue;
      const member = memberState(replica, 'pause');
      this.#members.push(member);
      if (this.#isStarted) this.#secure(member);
    }
  }

  /** What is known of a member now. */
  findingOf(id: string): MemberFinding | undefined {
    const member = this.#members.find(({ entry }) => entry.id === id);
    if (member === undefined) return undefined;
    const { entry, status } = member;
    const known = this.#isRecent(member) ? status : undefined;
    return {
      entry,
      received: known?.received,
      stopped: known !== undefined && this.#isStopped(member, known),
      present: this.options.isPresent(id),
      isReached: known !== undefined,
    };
  }

  /** True if nothing was heard of a member though it was lately tried. */
  isUnheard(id: string): boolean {
    const member = this.#members.find(({ entry }) => entry.id === id);
    const { now, timings } = this.runtime;
    if (member === undefined || now - member.triedAt > timings.evidenceMaxAgeMs) return false;
    return !this.#isRecent(member);
  }

  #isRecent({ askedAt }: MemberState): boolean {
    const { now, timings } = this.runtime;
    return askedAt >= this.#countsFrom && now - askedAt <= timings.evidenceMaxAgeMs;
  }

  /** A member that answered as the leader of a later term than the given one. */
  leaderAfter(term: number): { entry: InstanceEntry; status: InstanceStatus } | undefined {
    for (const { entry, status } of this.#members) {
      if (status?.role === 'primary' && status.term > term) return { entry, status };
    }
    return undefined;
  }

  #isStopped({ entry }: MemberState, status: InstanceStatus): boolean {
    if (status.role !== 'replica') return false;
    return entry.id === this.options.from?.id || status.heldTerm > 0;
  }

  #secure(member: MemberState): void {
    const { holdRetryPeriodMs } = this.runtime.timings;
    if (!this.#members.includes(member)) return;
    if (!this.options.mayAct()) {
      const { calls } = member;
      this.#scope.after(holdRetryPeriodMs, () => {
        if (calls === member.calls) this.#secure(member);
      });
      return;
    }
    const term = this.#term + 1;
    const { action } = member;
    const askedAt = this.runtime.now;
    member.calls += 1;
    const call = member.calls;
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      this.#noteAnswer(member, answer, askedAt);
      if (call === member.calls) {
        member.triedAt = this.runtime.now;
        const waitMs = answer === 'busy' ? BUSY_RETRY_MS : holdRetryPeriodMs;
        this.#scope.after(waitMs, () => {
          if (call === member.calls) this.#secure(member);
        });
      }
      this.options.onFinding();
    });
    this.runtime.control(action, member.entry, action === 'status' ? 0 : term, onAnswer);
  }

  #noteAnswer(
    member: MemberState,
    answer: InstanceStatus | ControlFailure,
    askedAt: Milliseconds,
  ): void {
    if (answer === 'busy' || answer === 'rejected') this.#heardAt = this.runtime.now;
    if (answer === 'rejected') member.action = 'status';
    if (typeof answer === 'string') return;
    this.#heardAt = this.runtime.now;
    if (askedAt < member.askedAt) return;
    // Of one that leads: it is the new one, and the others are about to follow it.
    if (answer.role === 'replica') this.#term = Math.max(this.#term, answer.term);
    member.status = answer;
    member.askedAt = askedAt;
    member.action = this.#nextAction(member, answer);
  }

  #nextAction(member: MemberState, status: InstanceStatus): ControlAction {
    if (status.role === 'primary') return status.term > this.options.term ? 'status' : 'demote';
    return member.entry.id === this.options.from?.id ? 'status' : 'pause';
  }
}

function memberState(entry: InstanceEntry, action: ControlAction): MemberState {
  const never = Number.NEGATIVE_INFINITY;
  return { entry, status: undefined, askedAt: never, triedAt: never, action, calls: 0 };
}
