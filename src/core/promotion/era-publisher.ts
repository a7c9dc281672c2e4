/** Records that the store's present era is settled, so that processes that begin later rely on the records at once. */
import type { Election } from './election.js';
import { ERA_KEY, type EraRecord, LEADER_KEY } from './records.js';
import type { PromotionRuntime } from './runtime.js';
import type { Scope } from './scope.js';

const TRY_AGAIN_MS = 300;

export class EraPublisher {
  /** The term of office in which a write or a pause is on. */
  #busyIn: Scope | undefined;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly election: Election,
  ) {}

  /** Writes the record once this leader may act; `scope` ends with this node's duty. */
  update(scope: Scope): void {
    const { era, now } = this.runtime;
    if (this.#busyIn === scope || era.unrecorded === undefined) return;
    this.#busyIn = scope;
    if (!this.election.mayAct()) {
      this.#later(scope, Math.max(TRY_AGAIN_MS, era.leasesOverAt - now));
      return;
    }
    const value = JSON.stringify({ era: era.unrecorded } satisfies EraRecord);
    const compares = [{ key: LEADER_KEY, modRevision: this.election.token ?? 0 }];
    const onDone = scope.guard(() => this.#later(scope, TRY_AGAIN_MS));
    const put = { type: 'put', key: ERA_KEY, value } as const;
    this.runtime.transaction(compares, [put], () => onDone(undefined));
  }

  #later(scope: Scope, delayMs: number): void {
    scope.after(delayMs, () => {
      this.#busyIn = undefined;
      this.update(scope);
    });
  }
}
