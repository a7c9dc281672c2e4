/**
 * Runs after a primary change and when a node becomes leader: resumes replicas that are still held, and demotes any
 * instance that is still primary of an earlier term.
 */
import type { InstanceEntry, InstanceStatus } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { ControlFailure } from './contract.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

const MAX_RETRY_DELAY_MS = 10_000;

export interface HeldReplicaCheckOptions {
  readonly primaryId: string;
  readonly term: number;
  readonly members: readonly InstanceEntry[];
  /** Whether this node is still the leader: a former leader would resume replicas that the next one holds. */
  readonly mayAct: () => boolean;
}

export class HeldReplicaCheck {
  readonly #scope: Scope;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly options: HeldReplicaCheckOptions,
  ) {
    this.#scope = new Scope(runtime);
  }

  /** @param areHeld the members are known to be held, since this leader has just completed a change */
  start(areHeld: boolean): void {
    for (const member of this.options.members) {
      if (member.id === this.options.primaryId) continue;
      if (areHeld) this.#resume(member, 0);
      else this.#queryStatus(member, 0, true);
    }
  }

  stop(): void {
    this.#scope.end();
  }

  #resume(member: InstanceEntry, failures: number): void {
    if (!this.options.mayAct()) {
      this.#retry(member, failures);
      return;
    }
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      if (typeof answer === 'string') this.#retry(member, failures);
      else this.#handleStatus(member, answer, false);
    });
    this.runtime.control('resume', member, 0, onAnswer);
  }

  #queryStatus(member: InstanceEntry, failures: number, isLast: boolean): void {
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      if (typeof answer === 'string') this.#retry(member, failures);
      else this.#handleStatus(member, answer, isLast);
    });
    this.runtime.control('status', member, 0, onAnswer);
  }

  #handleStatus(member: InstanceEntry, status: InstanceStatus, isLast: boolean): void {
    const { heldCheckPeriodMs, heldFinalCheckDelayMs } = this.runtime.timings;
    if (status.role === 'primary') {
      if (status.term < this.options.term) this.#demote(member);
    } else if (status.heldTerm > 0) {
      this.#scope.after(isLast ? 0 : heldCheckPeriodMs, () => this.#resume(member, 0));
    } else if (!isLast) {
      // A delayed call of an earlier leader may hold it again.
      this.#scope.after(heldFinalCheckDelayMs, () => this.#queryStatus(member, 0, true));
    }
  }

  #demote(member: InstanceEntry): void {
    if (!this.options.mayAct()) {
      this.#retry(member, 0);
      return;
    }
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      if (typeof answer === 'string') this.#retry(member, 0);
      else this.#handleStatus(member, answer, false);
    });
    this.runtime.control('demote', member, this.options.term, onAnswer);
  }

  #retry(member: InstanceEntry, failures: number): void {
    const delayMs: Milliseconds = this.runtime.timings.heldCheckPeriodMs * 2 ** failures;
    const next = (): void => this.#queryStatus(member, failures + 1, false);
    this.#scope.after(Math.min(MAX_RETRY_DELAY_MS, delayMs), next);
  }
}
