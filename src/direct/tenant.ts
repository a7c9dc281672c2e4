/** One tenant of this node: its policy in force, and what it uses of what all its sessions share. */
import { RetryBudget } from '../core/retry/budget.js';
import type { RoutePolicy } from '../core/tenancy/route-template.js';

export class Tenant {
  #policy: RoutePolicy;
  #retries: RetryBudget;
  #sessions = 0;

  constructor(
    /** Its route's name. */
    readonly name: string,
    policy: RoutePolicy,
  ) {
    this.#policy = policy;
    this.#retries = new RetryBudget(policy.retries);
  }

  get policy(): RoutePolicy {
    return this.#policy;
  }

  get sessions(): number {
    return this.#sessions;
  }

  /** Takes a changed policy. A budget that has not changed keeps what is left of it. */
  setPolicy(policy: RoutePolicy): void {
    const before = this.#policy.retries;
    const { ratio, capacity } = policy.retries;
    if (before.ratio !== ratio || before.capacity !== capacity) {
      this.#retries = new RetryBudget(policy.retries);
    }
    this.#policy = policy;
  }

  /** False if it has as many sessions here as it may. */
  openSession(): boolean {
    if (this.#sessions >= this.#policy.maxSessions) return false;
    this.#sessions += 1;
    return true;
  }

  closeSession(): void {
    this.#sessions -= 1;
  }

  /** A statement is tried for the first time. */
  recordFirstAttempt(): void {
    this.#retries.recordAttempt();
  }

  /** Whether a statement may be tried once more; counts it if so. */
  tryTakeRetry(): boolean {
    return this.#retries.tryTake();
  }
}
