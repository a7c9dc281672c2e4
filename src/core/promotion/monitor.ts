/**
 * Monitors one service's primary for the leader: probes it while nothing else shows that it is alive, and reports
 * when and why it must be replaced.
 */
import type { InstanceStatus } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { ControlFailure } from './contract.js';
import type { LeaderStore } from './leader-store.js';
import type { Primaries } from './primaries.js';
import type { PromotionRuntime } from './runtime.js';
import { Scope } from './scope.js';

/** Why a primary is replaced. */
export type ChangeReason =
  /** Nothing listens at its address, or it does not respond. */
  | 'dead'
  /** It is shutting down. */
  | 'draining'
  /** Its registration is gone while the store is available. */
  | 'entry-gone'
  /** Many nodes can't reach it, or get no commit acknowledged there. */
  | 'suspected'
  /** It responds that it is a replica. */
  | 'lost-lead';

/** A primary is replaced if at least one in this many live nodes suspects it. */
const NODES_PER_REQUIRED_SUSPICION = 3;
const MIN_SUSPICIONS = 2;
/** Number of probes with the same result that give a reason for replacement. */
const PROBES_TO_CONFIRM = 2;
/** Delay after which a new leader first probes the primary. */
const FIRST_PROBE_DELAY_MS = 100;

export class PrimaryMonitor {
  readonly #scope: Scope;
  #cancelProbe = (): void => {};
  #cancelEvaluation = (): void => {};
  #isProbing = false;
  #hasResponded = false;
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
      'missingForMs' | 'instance' | 'isRegistered' | 'primaryIdOf'
    >,
    private readonly store: Pick<LeaderStore, 'countLiveNodes' | 'countSuspicions'>,
    readonly service: string,
    private readonly onReason: (primaryId: string, reason: ChangeReason) => void,
  ) {
    this.#scope = new Scope(runtime);
  }

  /**
   * Probes soon, unless requests of this node show that the primary is alive: it may have died together with the
   * previous leader, unnoticed.
   */
  start(): void {
    this.#trackPrimary();
    this.#awaitFreshSuspicions();
    this.#aliveAt = this.runtime.now + FIRST_PROBE_DELAY_MS - this.runtime.timings.probePeriodMs;
    this.#probeIfNeeded();
  }

  stop(): void {
    this.#scope.end();
  }

  /** Records a response of the primary to this node. */
  recordAlive(instance: string): void {
    if (instance !== this.#primaryId) return;
    this.#hasResponded = true;
    this.#aliveAt = this.runtime.now;
    this.#unanswered = 0;
    this.#refused = 0;
  }

  /** Records that a request of this node failed at the primary, which is then probed immediately. */
  recordFailing(instance: string): void {
    if (instance !== this.#primaryId || this.#isProbing || this.#hasFailedProbe) return;
    this.#aliveAt = Number.NEGATIVE_INFINITY;
    this.#probeIfNeeded();
  }

  /** Ignores suspicions for a while after a primary change. */
  startSuspicionCooldown(): void {
    this.#ignoreSuspicionsFor(this.runtime.timings.suspicionCooldownMs);
  }

  /** Records that too few members respond to this leader, so that the primary's silence may not be its own fault. */
  recordSilentMembers(): void {
    this.#hasResponded = false;
    this.#awaitFreshSuspicions();
  }

  /** Whether this leader has had a response of the primary since it last found too few members responding. */
  get hasResponded(): boolean {
    return this.#hasResponded || this.runtime.isDisabled('fresh-suspicions');
  }

  /**
   * Ignores suspicions until nodes have had the time to withdraw them: those from a moment at which members were silent, or
   * from before this node led, may have outlived their cause.
   */
  #awaitFreshSuspicions(): void {
    if (this.runtime.isDisabled('fresh-suspicions')) return;
    const { suspectAfterMs } = this.runtime.timings;
    this.#ignoreSuspicionsFor(suspectAfterMs);
    this.#cancelEvaluation();
    this.#cancelEvaluation = this.#scope.after(suspectAfterMs, () => this.evaluate());
  }

  #ignoreSuspicionsFor(durationMs: Milliseconds): void {
    const until = this.runtime.now + durationMs;
    this.#suspicionsIgnoredUntil = Math.max(this.#suspicionsIgnoredUntil, until);
  }

  /** Reports a reason for replacement that is known without a probe. */
  evaluate(): void {
    const id = this.#trackPrimary();
    if (id === undefined || this.#scope.isEnded) return;
    const reason = this.#reasonOf(id);
    if (reason !== undefined) this.onReason(id, reason);
  }

  #reasonOf(id: string): ChangeReason | undefined {
    if (this.#unanswered >= PROBES_TO_CONFIRM || this.#refused >= PROBES_TO_CONFIRM) return 'dead';
    const isRegistered = this.primaries.isRegistered(id);
    if (isRegistered && this.primaries.instance(id)?.draining) return 'draining';
    const missingMs = this.primaries.missingForMs(id, this.runtime.now);
    if (missingMs !== undefined && missingMs >= this.runtime.timings.missingEntryReplaceAfterMs) {
      return 'entry-gone';
    }
    if (this.#replicaResponses >= PROBES_TO_CONFIRM) return 'lost-lead';
    return this.#isSuspected(id) ? 'suspected' : undefined;
  }

  #isSuspected(id: string): boolean {
    if (this.runtime.now < this.#suspicionsIgnoredUntil) return false;
    const nodes = this.store.countLiveNodes();
    const requiredSuspicions =
      nodes < NODES_PER_REQUIRED_SUSPICION
        ? 1
        : Math.max(MIN_SUSPICIONS, Math.ceil(nodes / NODES_PER_REQUIRED_SUSPICION));
    return this.store.countSuspicions(this.service, id) >= requiredSuspicions;
  }

  #trackPrimary(): string | undefined {
    const id = this.primaries.primaryIdOf(this.service);
    if (id !== this.#primaryId) {
      this.#primaryId = id;
      this.#hasResponded = false;
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
    // Any response shows that the instance is alive; only its own status shows that it is still the primary.
    const isRegisteredAsReplica = instance?.role === 'replica';
    const dueInMs = isRegisteredAsReplica ? 0 : this.#aliveAt + probePeriodMs - this.runtime.now;
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
    if (answer === 'refused' || answer === 'silent') {
      if (answer === 'refused') this.#refused += 1;
      else this.#unanswered += 1;
      this.#awaitFreshSuspicions();
      return;
    }
    this.#hasResponded = true;
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
