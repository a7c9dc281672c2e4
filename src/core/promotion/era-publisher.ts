/** Records that the current store era is settled, so that processes that start later rely on the records at once. */
import type { Election } from './election.js';
import { ERA_KEY, type EraRecord, LEADER_KEY } from './records.js';
import type { PromotionRuntime } from './runtime.js';
import type { Scope } from './scope.js';

const RETRY_DELAY_MS = 300;

export class EraPublisher {
  /** Scope of the leadership during which a write or a delay is in progress. */
  #busyScope: Scope | undefined;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
  ) {}

  /** Writes the record once this leader may act; `scope` ends with this node's leadership. */
  update(scope: Scope): void {
    const { era, now } = this.runtime;
    if (this.#busyScope === scope || era.unrecordedEra === undefined) return;
    this.#busyScope = scope;
    if (!this.election.mayAct()) {
      this.#retryAfter(scope, Math.max(RETRY_DELAY_MS, era.previousLeasesExpiredAt - now));
      return;
    }
    const value = JSON.stringify({ era: era.unrecordedEra } satisfies EraRecord);
    const compares = [{ key: LEADER_KEY, modRevision: this.election.fencingToken ?? 0 }];
    const onDone = scope.guard(() => this.#retryAfter(scope, RETRY_DELAY_MS));
    const put = { type: 'put', key: ERA_KEY, value } as const;
    this.runtime.transaction(compares, [put], () => onDone(undefined));
  }

  #retryAfter(scope: Scope, delayMs: number): void {
    scope.after(delayMs, () => {
      this.#busyScope = undefined;
      this.update(scope);
    });
  }
}
