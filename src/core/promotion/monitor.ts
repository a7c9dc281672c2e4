/**
 * Watches one service's primary for the leader: probes it while nothing else shows that it lives, and
 * tells when it has to be replaced and why.
 */
import type { InstanceStatus } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { ControlFailure } from './contract.js';
import type { DutyStore } from './duty-store.js';
import type { Primaries } from './primaries.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

/** Why a primary is replaced. */
export type ChangeReason =
  /** Nothing listens there, or it is silent. */
  | 'dead'
  /** It is leaving. */
  | 'draining'
  /** Its entry is gone, with the store well. */
  | 'entry-gone'
  /** Many nodes can't reach it, or get no commit acknowledged. */
  | 'suspected'
  /** It says that it is a replica. */
  | 'lost-lead';

const NODES_PER_REQUIRED_SUSPICION = 3;
const MIN_SUSPICIONS = 2;
const PROBES_TO_CONFIRM = 2;
/** A new leader looks at the primary after this. */
const FIRST_PROBE_DELAY_MS = 100;

export class PrimaryMonitor {
  readonly #scope: Scope;
  #cancelProbe = (): void => {};
  #isProbing = false;
  #aliveAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #refused = 0;
  #unanswered = 0;
  #replicaResponses = 0;
  #primaryId: string | undefined;
  #suspicionsIgnoredUntil: Milliseconds = 0;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly primaries: Pick<
      Primaries,
      'missingForMs' | 'instance' | 'isPresent' | 'primaryIdOf'
    >,
    private readonly store: Pick<DutyStore, 'liveNodes' | 'suspicionsOf'>,
    readonly service: string,
    private readonly onReason: (primaryId: string, reason: ChangeReason) => void,
  ) {
    this.#scope = new Scope(runtime);
  }

  /**
   * Looks soon, unless requests of this node show life: the primary may have died with the leader
   * before, and nobody would have noticed.
   */
  start(): void {
    this.#trackPrimary();
    this.#aliveAt = this.runtime.now + FIRST_PROBE_DELAY_MS - this.runtime.timings.probePeriodMs;
    this.#probeIfNeeded();
  }

  stop(): void {
    this.#scope.end();
  }

  /** This node got an answer of the primary. */
  recordAlive(instance: string): void {
    if (instance !== this.#primaryId) return;
    this.#aliveAt = this.runtime.now;
    this.#unanswered = 0;
    this.#refused = 0;
  }

  /** A request of this node failed there: that is looked into at once. */
  recordFailing(instance: string): void {
    if (instance !== this.#primaryId || this.#isProbing || this.#hasFailedProbe) return;
    this.#aliveAt = Number.NEGATIVE_INFINITY;
    this.#probeIfNeeded();
  }

  /** Suspicions are let rest for a while after a change. */
  startSuspicionCooldown(): void {
    this.#suspicionsIgnoredUntil = this.runtime.now + this.runtime.timings.suspicionCooldownMs;
  }

  /** Looks for a reason in what is known without a probe. */
  evaluate(): void {
    const id = this.#trackPrimary();
    if (id === undefined || this.#scope.isEnded) return;
    const reason = this.#reasonOf(id);
    if (reason !== undefined) this.onReason(id, reason);
  }

  #reasonOf(id: string): ChangeReason | undefined {
    if (this.#unanswered >= PROBES_TO_CONFIRM || this.#refused >= PROBES_TO_CONFIRM) return 'dead';
    const isPresent = this.primaries.isPresent(id);
    if (isPresent && this.primaries.instance(id)?.draining) return 'draining';
    const missingMs = this.primaries.missingForMs(id, this.runtime.now);
    if (missingMs !== undefined && missingMs >= this.runtime.timings.missingEntryReplaceAfterMs) {
      return 'entry-gone';
    }
    if (this.#replicaResponses >= PROBES_TO_CONFIRM) return 'lost-lead';
    return this.#isSuspected(id) ? 'suspected' : undefined;
  }

  #isSuspected(id: string): boolean {
    if (this.runtime.now < this.#suspicionsIgnoredUntil) return false;
    const nodes = this.store.liveNodes();
    const requiredSuspicions =
      nodes < NODES_PER_REQUIRED_SUSPICION
        ? 1
        : Math.max(MIN_SUSPICIONS, Math.ceil(nodes / NODES_PER_REQUIRED_SUSPICION));
    return this.store.suspicionsOf(this.service, id) >= requiredSuspicions;
  }

  #trackPrimary(): string | undefined {
    const id = this.primaries.primaryIdOf(this.service);
    if (id !== this.#primaryId) {
      this.#primaryId = id;
      this.#unanswered = 0;
      this.#refused = 0;
      this.#replicaResponses = 0;
      this.#aliveAt = this.runtime.now;
    }
    return id;
  }

  get #hasFailedProbe(): boolean {
    return this.#unanswered > 0 || this.#refused > 0;
  }

  #probeAfter(delayMs: Milliseconds): void {
    this.#cancelProbe();
    this.#cancelProbe = this.#scope.after(delayMs, () => this.#probeIfNeeded());
  }

  #probeIfNeeded(): void {
    this.#cancelProbe();
    const { probePeriodMs } = this.runtime.timings;
    const id = this.#trackPrimary();
    const instance = id === undefined ? undefined : this.primaries.instance(id);
    // An answer shows that it lives; whether it leads, only its own word does.
    const isReplicaByEntry = instance?.role === 'replica';
    const dueInMs = isReplicaByEntry ? 0 : this.#aliveAt + probePeriodMs - this.runtime.now;
    if (instance === undefined || dueInMs > 0) {
      const waitMs = instance === undefined ? probePeriodMs : dueInMs;
      this.#probeAfter(waitMs);
      this.evaluate();
      return;
    }
    const onAnswer = this.#scope.guard((answer: InstanceStatus | ControlFailure) => {
      this.#isProbing = false;
      if (this.#primaryId === instance.id) this.#recordProbe(answer);
      this.evaluate();
      this.#probeAfter(this.#nextProbeDelayMs());
    });
    this.#isProbing = true;
    this.runtime.control('status', instance, 0, onAnswer);
  }

  #recordProbe(answer: InstanceStatus | ControlFailure): void {
    if (answer === 'refused') {
      this.#refused += 1;
      return;
    }
    if (answer === 'silent') {
      this.#unanswered += 1;
      return;
    }
    this.#aliveAt = this.runtime.now;
    this.#unanswered = 0;
    this.#refused = 0;
    if (typeof answer === 'string') return;
    this.#replicaResponses = answer.role === 'replica' ? this.#replicaResponses + 1 : 0;
  }

  #nextProbeDelayMs(): Milliseconds {
    const { probeRetryDelayMs, probePeriodMs } = this.runtime.timings;
    if (this.#refused === 1) return probeRetryDelayMs;
    return this.#unanswered === 1 ? 0 : probePeriodMs;
  }
}
