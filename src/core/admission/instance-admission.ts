/**
 * Decides at one node, for one instance, which statement starts next, which ones wait and which ones are refused at
 * once. Active only where routes of different priorities compete; without rules all statements are admitted. No I/O;
 * the caller passes the time.
 */
import { hashText } from '../hash-text.js';
import type { Milliseconds } from '../units.js';
import {
  ConcurrencyLimiter,
  type LimiterOptions,
  type LimiterState,
} from './concurrency-limiter.js';
import {
  type OrderView,
  STARTS_PER_OLDEST,
  StarvationGuard,
  startsBefore,
  type WaitingWork,
} from './queue-order.js';

/** Parameters of admission, derived from the configured routes. */
export interface AdmissionRules {
  /** A longer wait for a slot of an instance counts as a shortage. */
  readonly targetDelayMs: Milliseconds;
  /** Range of the competing priorities; the highest priority is the lowest number. */
  readonly highestPriority: number;
  readonly lowestPriority: number;
}

/** A statement that requests admission. */
export interface AdmissionWork extends WaitingWork {
  readonly deadline: Milliseconds;
  /** The statement is refused if it hasn't started by this time. */
  readonly startDeadline: Milliseconds;
}

/** Why a statement is refused before it is sent to an instance. */
export type AdmissionRefusal =
  /** It is estimated to start or end too late. */
  | 'no-turn-in-time'
  /** Its start deadline has passed. */
  | 'waited-too-long';

/** The instance's current usage by this node. */
export interface InstanceUsage {
  readonly slots: number;
  /** Nodes that share the instance. */
  readonly sharers: number;
  /** Statements of this node in flight at the instance. */
  readonly inFlight: number;
  /** Statements in flight with the highest priority. */
  readonly highestInFlight: number;
}

/** Fraction of the shortest target latency that a wait for a slot may take before it counts as a shortage. */
const TARGET_DELAY_FRACTION = 0.2;
/** Fraction of the time until its deadline that a statement may wait without being sent to an instance. */
const MAX_UNTRIED_WAIT_FRACTION = 0.5;
/** Interval after which the tenants of a priority are ranked anew. */
const TENANT_ROTATION_MS: Milliseconds = 2000;

/** The fields of a route that admission depends on. */
export interface CompetingRoute {
  readonly priority: number;
  readonly targetLatencyMs: Milliseconds;
}

/** The rules for these routes; undefined where all have the same priority, so that none compete. */
export function admissionRules(routes: readonly CompetingRoute[]): AdmissionRules | undefined {
  const priorities = routes.map(({ priority }) => priority);
  const [highestPriority, lowestPriority] = [Math.min(...priorities), Math.max(...priorities)];
  if (!(highestPriority < lowestPriority)) return undefined;
  const shortestTargetMs = Math.min(...routes.map(({ targetLatencyMs }) => targetLatencyMs));
  return {
    targetDelayMs: shortestTargetMs * TARGET_DELAY_FRACTION,
    highestPriority,
    lowestPriority,
  };
}

/** The time by which a statement that arrived at `arrivedAt` must start. */
export function startDeadlineOf(arrivedAt: Milliseconds, deadline: Milliseconds): Milliseconds {
  return arrivedAt + (deadline - arrivedAt) * MAX_UNTRIED_WAIT_FRACTION;
}

export class InstanceAdmission {
  readonly limiter: ConcurrencyLimiter;
  readonly #starvationGuard = new StarvationGuard();

  constructor(
    private readonly rules: () => AdmissionRules | undefined,
    fleetDelayMs?: () => Milliseconds | undefined,
  ) {
    this.limiter = new ConcurrencyLimiter(fleetDelayMs);
  }

  /** False where no priorities compete; admission then limits nothing. */
  get isActive(): boolean {
    return this.rules() !== undefined;
  }

  get state(): LimiterState {
    return this.limiter.state;
  }

  /**
   * Whether the instance's slots allow a statement to start. Statements of lower priorities in flight don't count
   * against the highest priority.
   */
  mayStart({ priority, tenant }: WaitingWork, usage: InstanceUsage, now: Milliseconds): boolean {
    const rules = this.rules();
    if (rules === undefined) return true;
    const limit = this.limiter.limitFor(usage);
    if (priority <= rules.highestPriority)
      return usage.highestInFlight < Math.max(limit, usage.slots);
    return usage.inFlight < limit && this.limiter.admits(priority, tenantRankOf(tenant, now));
  }

  /** Why the statement can't start or end in time; undefined if it may wait. */
  refusalOf(
    work: AdmissionWork,
    waiting: readonly WaitingWork[],
    held: ReadonlyMap<string, number>,
    usage: InstanceUsage,
    now: Milliseconds,
  ): AdmissionRefusal | undefined {
    if (!this.isActive) return undefined;
    if (now >= work.startDeadline) return 'waited-too-long';
    const startsAt = now + this.expectedWaitMs(work, waiting, held, usage, now);
    const endsAt = startsAt + this.limiter.responseTimes.responseMs(work.priority);
    return startsAt > work.startDeadline || endsAt > work.deadline ? 'no-turn-in-time' : undefined;
  }

  /** Expected wait in this node's queue, behind the statements that start earlier. */
  expectedWaitMs(
    work: WaitingWork,
    waiting: readonly WaitingWork[],
    held: ReadonlyMap<string, number>,
    usage: InstanceUsage,
    now: Milliseconds,
  ): Milliseconds {
    if (waiting.length === 0) return 0;
    const view = this.#view(held, now);
    const highestPriority = Math.min(...waiting.map(({ priority }) => priority));
    let aheadMs = 0;
    let passedOverCount = 0;
    for (const other of waiting) {
      if (startsBefore(other, work, view)) aheadMs += view.responseMs(other.priority);
      if (other.priority > highestPriority) passedOverCount += 1;
    }
    // Bounds the wait: the statement gets its turn once it is the oldest.
    const startsUntilOldest = (passedOverCount + 1) * STARTS_PER_OLDEST;
    const maxWaitMs = startsUntilOldest * view.responseMs(highestPriority);
    return Math.min(aheadMs, maxWaitMs) / this.limiter.limitFor(usage);
  }

  /** The candidate that starts next; undefined if there are no candidates. */
  next<Work extends WaitingWork>(
    candidates: readonly Work[],
    held: ReadonlyMap<string, number>,
    now: Milliseconds,
  ): Work | undefined {
    const view = this.#view(held, now);
    let first: Work | undefined;
    let oldest: Work | undefined;
    for (const work of candidates) {
      if (first === undefined || startsBefore(work, first, view)) first = work;
      if (oldest === undefined || work.queuedAt < oldest.queuedAt) oldest = work;
    }
    if (first === undefined || oldest === undefined) return undefined;
    return this.#starvationGuard.choose(first, oldest, view);
  }

  /** Records that a statement has ended and released its connection. */
  recordCompletion(
    priority: number,
    tookMs: Milliseconds,
    usage: InstanceUsage,
    now: Milliseconds,
  ): void {
    const rules = this.rules();
    if (rules === undefined) return;
    const { inFlight } = usage;
    this.limiter.recordResponse({ priority, tookMs, inFlight }, optionsOf(rules, usage), now);
  }

  recordRefusal(): void {
    if (this.isActive) this.limiter.recordRefusal();
  }

  /** Adjusts the limits when time passes without a response. */
  adjust(usage: InstanceUsage, now: Milliseconds): void {
    const rules = this.rules();
    if (rules !== undefined) this.limiter.adjust(optionsOf(rules, usage), usage.inFlight, now);
  }

  isHighest(priority: number): boolean {
    return priority <= (this.rules()?.highestPriority ?? Number.NEGATIVE_INFINITY);
  }

  #view(held: ReadonlyMap<string, number>, now: Milliseconds): OrderView {
    return { now, held, responseMs: (priority) => this.limiter.responseTimes.responseMs(priority) };
  }
}

function optionsOf(rules: AdmissionRules, { slots, sharers }: InstanceUsage): LimiterOptions {
  const { targetDelayMs, highestPriority, lowestPriority } = rules;
  return {
    slots,
    sharers,
    targetDelayMs,
    highestPriority,
    lowestPriority,
  };
}

/** Pseudo-random rank of a tenant among those of its priority, in [0, 1); it changes every `TENANT_ROTATION_MS`. */
export function tenantRankOf(tenant: string, now: Milliseconds): number {
  let hash = hashText(tenant, Math.floor(now / TENANT_ROTATION_MS));
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}
