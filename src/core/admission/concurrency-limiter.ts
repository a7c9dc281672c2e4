/**
 * Limits the work that one node admits at an instance that is short of slots. A shortage shows as response time beyond
 * the work itself, or as statements that the instance refuses because all slots are busy. The concurrency limit
 * (statements in flight) decreases first. At its minimum, which allows for the other nodes that share the instance, the
 * admission level decreases: work is admitted by priority, then by a hash of its tenant. Nodes observe about the same
 * delay, so that their levels agree without coordination. No I/O; the caller passes the time.
 */
import type { Milliseconds } from '../units.js';
import { ResponseTimes } from './response-times.js';

export interface LimiterOptions {
  /** Statements that the instance runs concurrently. */
  readonly slots: number;
  /** Nodes that share the instance. */
  readonly sharers: number;
  /** A longer wait for a slot counts as a shortage. */
  readonly targetDelayMs: Milliseconds;
  /** Range of the competing priorities; the highest priority is the lowest number. */
  readonly highestPriority: number;
  readonly lowestPriority: number;
}

/** A statement that was admitted and has ended. */
export interface CompletedWork {
  readonly priority: number;
  readonly tookMs: Milliseconds;
  /** Other statements in flight when it ended. */
  readonly inFlight: number;
}

/** The limits in effect. */
export interface LimiterState {
  /** Statements that may be in flight; undefined while the instance is not short of slots. */
  readonly concurrencyLimit: number | undefined;
  /** Work is admitted if its priority plus its tenant's rank is below this; undefined while all work is admitted. */
  readonly admissionLevel: number | undefined;
}

const LIMIT_DECREASE_FACTOR = 0.8;
const LIMIT_INCREASE_FACTOR = 1.15;
const LEVEL_DECREASE_STEP = 0.25;
const LEVEL_INCREASE_STEP = 0.05;
/** Limits increase while the delay is below this fraction of the target, and stay unchanged up to the target. */
const INCREASE_BELOW_FRACTION = 0.5;
/**
 * The limits are adjusted once per slot delay, within these bounds, so that each adjustment is judged by responses to
 * work admitted after the previous one.
 */
const MIN_ADJUSTMENT_PERIOD_MS: Milliseconds = 40;
const MAX_ADJUSTMENT_PERIOD_MS: Milliseconds = 150;
/** After this time without a response, the measured delay is discarded. */
const RESPONSE_TIMEOUT_MS: Milliseconds = 400;
/** Statements of one node beyond this multiple of the slots would only wait at the instance. */
const MAX_SLOT_MULTIPLE = 1.5;

export class ConcurrencyLimiter {
  readonly responseTimes = new ResponseTimes();
  /** Undefined while the instance is not short of slots. */
  #limit: number | undefined;
  #admissionLevel = Number.POSITIVE_INFINITY;
  #adjustedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #respondedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #responses = 0;
  #wasRefused = false;

  /** @param fleetDelayMs wait for a slot as observed by other nodes; undefined if unknown */
  constructor(private readonly fleetDelayMs: () => Milliseconds | undefined = () => undefined) {}

  /** True while the instance is short of slots. */
  get isLimited(): boolean {
    return this.#limit !== undefined;
  }

  get state(): LimiterState {
    const admissionLevel =
      this.#admissionLevel === Number.POSITIVE_INFINITY ? undefined : this.#admissionLevel;
    return {
      concurrencyLimit: this.#limit === undefined ? undefined : Math.floor(this.#limit),
      admissionLevel,
    };
  }

  /** Number of statements that may be in flight. */
  limitFor({ slots }: Pick<LimiterOptions, 'slots'>): number {
    return Math.floor(this.#limit ?? maxLimitFor(slots));
  }

  /**
   * Whether the admission level admits work of this priority.
   * @param tenantRank rank of the tenant, in [0, 1)
   */
  admits(priority: number, tenantRank: number): boolean {
    return priority + tenantRank < this.#admissionLevel;
  }

  recordResponse(
    { priority, tookMs, inFlight }: CompletedWork,
    options: LimiterOptions,
    now: Milliseconds,
  ) {
    this.responseTimes.record(priority, tookMs, this.isLimited);
    this.#respondedAt = now;
    this.#responses += 1;
    this.adjust(options, inFlight, now);
  }

  /** Records that the instance refused a statement because all its slots were busy. */
  recordRefusal(): void {
    this.#wasRefused = true;
  }

  /** Adjusts the limits by the responses since the last adjustment; also called periodically without a response. */
  adjust(options: LimiterOptions, inFlight: number, now: Milliseconds): void {
    const periodMs = Math.min(
      MAX_ADJUSTMENT_PERIOD_MS,
      Math.max(MIN_ADJUSTMENT_PERIOD_MS, this.responseTimes.slotDelayMs),
    );
    if (now - this.#adjustedAt < periodMs) return;
    const isSilent = now - this.#respondedAt >= RESPONSE_TIMEOUT_MS;
    const reportedMs = this.fleetDelayMs();
    if (this.#responses === 0 && !this.#wasRefused && !isSilent && reportedMs === undefined) return;
    this.#adjustedAt = now;
    this.#responses = 0;
    if (isSilent) {
      this.responseTimes.resetSlotDelay();
      this.#respondedAt = now;
    }
    const slotDelayMs = reportedMs ?? this.responseTimes.slotDelayMs;
    if (slotDelayMs > options.targetDelayMs || this.#wasRefused) this.#decrease(options, inFlight);
    else if (slotDelayMs < options.targetDelayMs * INCREASE_BELOW_FRACTION) this.#increase(options);
    this.#wasRefused = false;
  }

  #decrease(
    { slots, sharers, highestPriority, lowestPriority }: LimiterOptions,
    inFlight: number,
  ): void {
    const minLimit = Math.max(1, Math.ceil(slots / Math.max(1, sharers)));
    const previous = this.#limit;
    const used = Math.min(maxLimitFor(slots), inFlight + 1);
    this.#limit = Math.max(minLimit, (previous ?? used) * LIMIT_DECREASE_FACTOR);
    if (previous === undefined || previous > minLimit) return;
    // Every node admits all work of the highest priority, since other nodes may admit lower priorities.
    this.#admissionLevel = Math.max(
      highestPriority + 1,
      Math.min(lowestPriority + 1, this.#admissionLevel) - LEVEL_DECREASE_STEP,
    );
  }

  #increase({ slots, lowestPriority }: LimiterOptions): void {
    if (this.#admissionLevel !== Number.POSITIVE_INFINITY) {
      const admissionLevel = this.#admissionLevel + LEVEL_INCREASE_STEP;
      this.#admissionLevel =
        admissionLevel >= lowestPriority + 1 ? Number.POSITIVE_INFINITY : admissionLevel;
      return;
    }
    if (this.#limit === undefined) return;
    this.#limit = Math.max(this.#limit + 1 / 2, this.#limit * LIMIT_INCREASE_FACTOR);
    if (this.#limit >= maxLimitFor(slots)) this.#limit = undefined;
  }
}

function maxLimitFor(slots: number): number {
  return Math.ceil(slots * MAX_SLOT_MULTIPLE);
}
