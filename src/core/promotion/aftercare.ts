/**
 * After a change, and when a leader begins: members that are still held are let go, and whoever still
 * leads an earlier term is demoted.
 */
import type { InstanceEntry, InstanceStatus } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { ControlFailure } from './contract.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

const SLOWEST_RETRY_MS = 10_000;

export interface AftercareOptions {
  readonly leaderId: string;
  readonly term: number;
  readonly members: readonly InstanceEntry[];
  /** This node is the leader yet: a deposed one would end the holds of the next. */
  readonly mayAct: () => boolean;
}

export class Aftercare {
  readonly #scope: Scope;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly options: AftercareOptions,
  ) {
    this.#scope = new Scope(runtime);
  }

  /** Members of a change that this leader has just made are known to be held. */
  start(areHeld: boolean): void {
    for (const member of this.options.members) {
      if (member.id === this.options.leaderId) continue;
      if (areHeld) this.#letGo(member, 0);
      else this.#look(member, 0, true);
    }
  }

  stop(): void {
    this.#scope.end();
  }

  #letGo(member: InstanceEntry, failures: number): void {
    if (!this.options.mayAct()) {
      this.#again(member, failures);
      return;
    }
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      if (typeof answer === 'string') this.#again(member, failures);
      else this.#follow(member, answer, false);
    });
    this.runtime.control('resume', member, 0, onAnswer);
  }

  #look(member: InstanceEntry, failures: number, isLast: boolean): void {
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      if (typeof answer === 'string') this.#again(member, failures);
      else this.#follow(member, answer, isLast);
    });
    this.runtime.control('status', member, 0, onAnswer);
  }

  #follow(member: InstanceEntry, status: InstanceStatus, isLast: boolean): void {
    const { heldCheckPeriodMs, heldFinalCheckDelayMs } = this.runtime.timings;
    if (status.role === 'primary') {
      if (status.term < this.options.term) this.#demote(member);
    } else if (status.heldTerm > 0) {
      this.#scope.after(isLast ? 0 : heldCheckPeriodMs, () => this.#letGo(member, 0));
    } else if (!isLast) {
      // A call of an earlier leader may arrive late and hold it once more.
      this.#scope.after(heldFinalCheckDelayMs, () => this.#look(member, 0, true));
    }
  }

  #demote(member: InstanceEntry): void {
    if (!this.options.mayAct()) {
      this.#again(member, 0);
      return;
    }
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      if (typeof answer === 'string') this.#again(member, 0);
      else this.#follow(member, answer, false);
    });
    this.runtime.control('demote', member, this.options.term, onAnswer);
  }

  #again(member: InstanceEntry, failures: number): void {
    const delayMs: Milliseconds = this.runtime.timings.heldCheckPeriodMs * 2 ** failures;
    const next = (): void => this.#look(member, failures + 1, false);
    this.#scope.after(Math.min(SLOWEST_RETRY_MS, delayMs), next);
  }
}
