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
  answeredAt: Milliseconds;
  action: ControlAction;
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
  readonly #members: MemberState[];
  #term: number;
  #heardAt: Milliseconds;

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
    for (const member of this.#members) this.#secure(member);
  }

  stop(): void {
    this.#scope.end();
  }

  /** What is known of a member now. */
  findingOf(id: string): MemberFinding | undefined {
    const member = this.#members.find(({ entry }) => entry.id === id);
    if (member === undefined) return undefined;
    const { entry, status, answeredAt } = member;
    const isRecent = this.runtime.now - answeredAt <= this.runtime.timings.evidenceMaxAgeMs;
    const known = isRecent ? status : undefined;
    return {
      entry,
      received: known?.received,
      stopped: known !== undefined && this.#isStopped(member, known),
      present: this.options.isPresent(id),
    };
  }

  /** A member that leads a term later than the given one. */
  leaderAfter(term: number): InstanceEntry | undefined {
    const leader = this.#members.find(
      ({ status }) => status?.role === 'primary' && status.term > term,
    );
    return leader?.entry;
  }

  #isStopped({ entry }: MemberState, status: InstanceStatus): boolean {
    if (status.role !== 'replica') return false;
    return entry.id === this.options.from?.id || status.heldTerm > 0;
  }

  #secure(member: MemberState): void {
    const { secureEveryMs } = this.runtime.timings;
    if (!this.options.mayAct()) {
      this.#scope.after(secureEveryMs, () => this.#secure(member));
      return;
    }
    const term = this.#term + 1;
    const { action } = member;
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      this.#noteAnswer(member, answer);
      const waitMs = answer === 'busy' ? BUSY_RETRY_MS : secureEveryMs;
      this.#scope.after(waitMs, () => this.#secure(member));
      this.options.onFinding();
    });
    this.runtime.control(action, member.entry, action === 'status' ? 0 : term, onAnswer);
  }

  #noteAnswer(member: MemberState, answer: InstanceStatus | ControlFailure): void {
    if (answer === 'busy' || answer === 'rejected') this.#heardAt = this.runtime.now;
    if (answer === 'rejected') member.action = 'status';
    if (typeof answer === 'string') return;
    this.#heardAt = this.runtime.now;
    // Of one that leads: it is the new one, and the others are about to follow it.
    if (answer.role === 'replica') this.#term = Math.max(this.#term, answer.term);
    member.status = answer;
    member.answeredAt = this.runtime.now;
    member.action = this.#nextAction(member, answer);
  }

  #nextAction(member: MemberState, status: InstanceStatus): ControlAction {
    if (status.role === 'primary') return status.term > this.options.term ? 'status' : 'demote';
    return member.entry.id === this.options.from?.id ? 'status' : 'pause';
  }
}

function memberState(entry: InstanceEntry, action: ControlAction): MemberState {
  return { entry, status: undefined, answeredAt: Number.NEGATIVE_INFINITY, action };
}
