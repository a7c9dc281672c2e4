/** Admission to one connection pool; keeps which request uses each connection, and since when. */

import type { LimiterState } from '../core/admission/concurrency-limiter.js';
import {
  type AdmissionRefusal,
  type AdmissionRules,
  type AdmissionWork,
  InstanceAdmission,
  type InstanceUsage,
  startDeadlineOf,
} from '../core/admission/instance-admission.js';
import type { Milliseconds } from '../core/units.js';
import type { SocketConnection } from './instance-connection.js';
import type { GatewayLatencies } from './latencies.js';

/** Counted over all pools of the process. */
export interface AdmissionRefusals {
  /** Refused because their turn would come too late. */
  turnRefusals: number;
  /** Refused because half of their time passed before they were started. */
  untriedRefusals: number;
}

export interface PoolAdmissionOptions {
  /** Undefined where requests don't compete by priority. */
  readonly rules: () => AdmissionRules | undefined;
  readonly instance: () => { readonly slots: number; readonly sharers: number };
  /** Number of connections being opened; each takes a slot of the instance. */
  readonly opening: () => number;
  readonly counters: AdmissionRefusals;
  readonly latencies: Partial<AdmissionLatencies> | undefined;
  readonly onChange?: ((state: LimiterState) => void) | undefined;
  readonly now: () => Milliseconds;
}

export type AdmissionLatencies = Pick<GatewayLatencies, 'admissionRefusals' | 'admissionErrors'>;

/** A queued statement. */
export interface QueuedWork extends AdmissionWork {
  /** Expected wait; undefined while admission is not active. */
  readonly expectedMs: Milliseconds | undefined;
}

/** The parts of a connection request that admission uses. */
export interface AdmissionRequest {
  readonly tenant: string;
  readonly priority: number;
  readonly deadline: Milliseconds;
  /** An answer after this time is late; defaults to the deadline. */
  readonly latencyTargetAt?: Milliseconds | undefined;
  /** A transaction keeps its connection between statements. */
  readonly isTransaction?: boolean | undefined;
}

interface Holder {
  readonly priority: number;
  readonly isTransaction: boolean;
  readonly since: Milliseconds;
}

const MAX_PRIORITY_LABEL = 7;

export class PoolAdmission {
  readonly decisions: InstanceAdmission;
  readonly #holders = new Map<SocketConnection, Holder>();
  #reportedState: LimiterState = { concurrencyLimit: undefined, admissionLevel: undefined };

  constructor(private readonly options: PoolAdmissionOptions) {
    this.decisions = new InstanceAdmission(options.rules);
  }

  get isActive(): boolean {
    return this.decisions.isActive;
  }

  /** Turns a request into work that is queued from now on. */
  toWork(request: AdmissionRequest, weight: number): AdmissionWork {
    const { tenant, priority, deadline, latencyTargetAt = deadline } = request;
    const queuedAt = this.options.now();
    const startDeadline = this.isActive ? startDeadlineOf(queuedAt, deadline) : deadline;
    return {
      tenant,
      priority,
      weight,
      queuedAt,
      latencyTargetAt,
      deadline,
      startDeadline,
    };
  }

  /** Returns a predicate: may a statement start now? The usage of the instance is computed once for all calls. */
  startFilter(): (work: AdmissionWork) => boolean {
    if (!this.isActive) return () => true;
    const usage = this.#usage();
    const now = this.options.now();
    return (work) => this.decisions.mayStart(work, usage, now);
  }

  refusalOf(
    work: AdmissionWork,
    waiting: readonly AdmissionWork[],
    held: ReadonlyMap<string, number>,
  ): AdmissionRefusal | undefined {
    if (!this.isActive) return undefined;
    const { counters, now } = this.options;
    const refusal = this.decisions.refusalOf(work, waiting, held, this.#usage(), now());
    if (refusal !== undefined) {
      counters.turnRefusals += 1;
      this.#observeRefusal(work, refusal);
    }
    return refusal;
  }

  /** Adds the expected wait to the work, to be compared with the actual wait when it starts. */
  toQueuedWork(
    work: AdmissionWork,
    waiting: readonly AdmissionWork[],
    held: ReadonlyMap<string, number>,
  ): QueuedWork {
    if (!this.isActive) return { ...work, expectedMs: undefined };
    const now = this.options.now();
    const expectedMs = this.decisions.expectedWaitMs(work, waiting, held, this.#usage(), now);
    return { ...work, expectedMs };
  }

  recordStart({ expectedMs, queuedAt, priority }: QueuedWork): void {
    if (expectedMs === undefined) return;
    const errorMs = Math.abs(this.options.now() - queuedAt - expectedMs);
    this.options.latencies?.admissionErrors?.observe(errorMs, priorityLabel(priority));
  }

  #observeRefusal({ queuedAt, priority }: AdmissionWork, cause: AdmissionRefusal): void {
    const waitedMs = this.options.now() - queuedAt;
    this.options.latencies?.admissionRefusals?.observe(waitedMs, cause, priorityLabel(priority));
  }

  next<Work extends AdmissionWork>(
    candidates: readonly Work[],
    held: ReadonlyMap<string, number>,
  ): Work | undefined {
    return this.decisions.next(candidates, held, this.options.now());
  }

  recordUntried(work: AdmissionWork): void {
    this.options.counters.untriedRefusals += 1;
    this.#observeRefusal(work, 'waited-too-long');
  }

  recordRefusal(): void {
    this.decisions.recordRefusal();
  }

  recordAcquired(connection: SocketConnection, request: AdmissionRequest): void {
    const { priority, isTransaction = false } = request;
    this.#holders.set(connection, { priority, isTransaction, since: this.options.now() });
  }

  recordReleased(connection: SocketConnection): void {
    const holder = this.#holders.get(connection);
    this.#holders.delete(connection);
    const now = this.options.now();
    // Neither the duration of a transaction nor a lost answer shows how fast the instance is.
    if (holder === undefined || holder.isTransaction || connection.closed) return;
    this.decisions.recordCompletion(holder.priority, now - holder.since, this.#usage(), now);
    this.#reportChange();
  }

  /** Called periodically while statements wait, to adapt the limits also when no answers arrive. */
  adjust(): void {
    this.decisions.adjust(this.#usage(), this.options.now());
    this.#reportChange();
  }

  #usage(): InstanceUsage {
    const { instance, opening } = this.options;
    let inFlight = opening();
    let highest = 0;
    for (const [connection, { priority, isTransaction }] of this.#holders) {
      if (isTransaction && connection.pendingCount === 0) continue;
      inFlight += 1;
      if (this.decisions.isHighest(priority)) highest += 1;
    }
    return { ...instance(), inFlight, highestInFlight: highest };
  }

  #reportChange(): void {
    const { onChange } = this.options;
    const { admissionLevel, concurrencyLimit } = this.decisions.state;
    const wasLimited = this.#reportedState.concurrencyLimit !== undefined;
    if (
      wasLimited === (concurrencyLimit !== undefined) &&
      this.#reportedState.admissionLevel === admissionLevel
    )
      return;
    this.#reportedState = { admissionLevel, concurrencyLimit };
    onChange?.(this.#reportedState);
  }
}

/** Bounds the number of metric labels for any declared priorities. */
function priorityLabel(priority: number): string {
  return String(Math.min(priority, MAX_PRIORITY_LABEL));
}
