/** One tenant at this node: its current policy, its number of sessions and its retry budget. */
import { RetryBudget } from '../core/retry/budget.js';
import type { RoutePolicy } from '../core/tenancy/route-template.js';

export class Tenant {
  #policy: RoutePolicy;
  #retries: RetryBudget;
  #sessions = 0;

  constructor(
    /** Name of the account, or of the route where callers send no keys. */
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

  /** Applies a changed policy. A retry budget whose limits are unchanged keeps its remaining tokens. */
  setPolicy(policy: RoutePolicy): void {
    const before = this.#policy.retries;
    const { ratio, capacity } = policy.retries;
    if (before.ratio !== ratio || before.capacity !== capacity) {
      this.#retries = new RetryBudget(policy.retries);
    }
    this.#policy = policy;
  }

  /** Counts one more session; false if the tenant has reached its maximum here. */
  openSession(): boolean {
    if (this.#sessions >= this.#policy.maxSessions) return false;
    this.#sessions += 1;
    return true;
  }

  closeSession(): void {
    this.#sessions -= 1;
  }

  /** Records the first attempt of a statement, which adds to the retry budget. */
  recordFirstAttempt(): void {
    this.#retries.recordAttempt();
  }

  /** Takes one retry from the budget; false if none is left. */
  tryTakeRetry(): boolean {
    return this.#retries.tryTake();
  }
}
