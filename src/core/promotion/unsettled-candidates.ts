/**
 * Instances that a promotion call of an earlier leader may still make primary. A partition can hold up what a process
 * has sent until long after the process ended, and nothing tells a later leader whether the call was made, arrived or
 * was recalled. Replacing such an instance can't wait that long. Instead, while the call may arrive, a commit is
 * confirmed to its caller only once the instance has received it too, so that its promotion loses nothing.
 */
import type { Milliseconds } from '../units.js';
import { type InstanceIncarnation, isSameInstance } from './incarnations.js';
import type { PromotionRuntime } from './runtime.js';

interface UnsettledCandidate {
  readonly instance: InstanceIncarnation;
  readonly until: Milliseconds;
}

export class UnsettledCandidates {
  #candidates: readonly UnsettledCandidate[] = [];

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly service: string,
  ) {}

  /** Adds an instance whose promotion an earlier leader may have called. */
  add({ id, lifeOf }: InstanceIncarnation): void {
    const { now, timings } = this.runtime;
    if (this.runtime.isDisabled('unsettled-candidates')) return;
    const instance = lifeOf === undefined ? { id } : { id, lifeOf };
    const others = this.#candidates.filter((known) => !isSameInstance(known.instance, instance));
    this.runtime.log('info', 'promotion call of an earlier leader may still arrive', {
      ...{ service: this.service, instance: id },
    });
    this.#candidates = [...others, { instance, until: now + timings.heldUpCallMs }];
  }

  /** For the handover record; undefined if there are none. */
  current(): readonly InstanceIncarnation[] | undefined {
    const unsettled = this.#candidates.filter(({ until }) => this.runtime.now < until);
    return unsettled.length === 0 ? undefined : unsettled.map(({ instance }) => instance);
  }

  /** For the record of a primary, which a late call for it does not affect; undefined if there are none. */
  besides(primary: InstanceIncarnation): readonly InstanceIncarnation[] | undefined {
    const others = this.current()?.filter((instance) => !isSameInstance(instance, primary)) ?? [];
    return others.length === 0 ? undefined : others;
  }
}
