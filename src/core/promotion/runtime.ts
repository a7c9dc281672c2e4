/**
 * State that the components of the promotion state machine share: the time of the current event, timers, and
 * requests with the handlers of their responses. Handlers keep the steps readable in order; they run only inside
 * `handle`, so the machine stays a function of its events.
 */
import type { InstanceEntry, InstanceStatus, PromoteOutcome } from '../../direct/contract.js';
import type {
  RangeResponse,
  RevisionCompare,
  TransactionOperation,
  TransactionResponse,
} from '../../platform/contract.js';
import type { Milliseconds } from '../units.js';
import type {
  ControlAction,
  ControlFailure,
  PromoteRequest,
  PromotionEffect,
  PromotionRequest,
  RequestAnswer,
} from './contract.js';
import { EraSettling } from './era-settling.js';
import type { PromotionOptions } from './options.js';
import { TimerQueue } from './timer-queue.js';

/** A call to the store failed, or got no response in time and may have taken effect. */
export interface StoreCallError {
  readonly isLeaseGone: boolean;
  readonly retryAfterMs: Milliseconds;
}

const STORE_RESPONSES: ReadonlySet<RequestAnswer['type']> = new Set([
  'range',
  'transaction',
  'lease',
  'done',
]);

const NO_RESPONSE: StoreCallError = { isLeaseGone: false, retryAfterMs: 0 };

interface PendingRequest {
  /** Called with undefined if no response arrived in time. */
  readonly onAnswer: (answer: RequestAnswer | undefined) => void;
  readonly cancelTimeout: () => void;
}

export class PromotionRuntime {
  now: Milliseconds = 0;
  /** Last time at which the store responded to a call, also with a refusal. */
  respondedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  readonly timers = new TimerQueue();
  readonly era: EraSettling;
  #effects: PromotionEffect[] = [];
  #pending = new Map<number, PendingRequest>();
  #nextId = 1;

  constructor(readonly options: PromotionOptions) {
    this.era = new EraSettling(options.timings, options.isFirstStart === true);
  }

  get timings() {
    return this.options.timings;
  }

  isDisabled(mechanism: Parameters<NonNullable<PromotionOptions['disabled']>['has']>[0]): boolean {
    return this.options.disabled?.has(mechanism) ?? false;
  }

  emit(effect: PromotionEffect): void {
    this.#effects.push(effect);
  }

  log(level: 'info' | 'warn', event: string, fields: Readonly<Record<string, unknown>>): void {
    this.emit({ type: 'log', level, event, fields });
  }

  takeEffects(): PromotionEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** An id that no other request or watch has. */
  nextId(): number {
    this.#nextId += 1;
    return this.#nextId;
  }

  after(delayMs: Milliseconds, action: () => void): () => void {
    return this.timers.schedule(this.now + delayMs, action);
  }

  /** A delay between half of `boundMs` and `boundMs`. */
  jittered(boundMs: Milliseconds): Milliseconds {
    return boundMs / 2 + (boundMs / 2) * this.options.random();
  }

  handleAnswer(request: number, answer: RequestAnswer): void {
    const pending = this.#pending.get(request);
    if (isStoreResponse(answer)) this.respondedAt = this.now;
    if (pending === undefined) return;
    this.#pending.delete(request);
    pending.cancelTimeout();
    pending.onAnswer(answer);
  }

  range(prefix: string, onAnswer: (answer: RangeResponse | StoreCallError) => void): void {
    this.#send({ type: 'range', prefix }, this.timings.storeTimeoutMs, (answer) =>
      onAnswer(answer?.type === 'range' ? answer.range : toStoreCallError(answer)),
    );
  }

  transaction(
    compares: readonly RevisionCompare[],
    operations: readonly TransactionOperation[],
    onAnswer: (answer: TransactionResponse | StoreCallError) => void,
  ): void {
    const request = { type: 'transaction', compares, operations } as const;
    this.#send(request, this.timings.storeTimeoutMs, (answer) =>
      onAnswer(answer?.type === 'transaction' ? answer.transaction : toStoreCallError(answer)),
    );
  }

  grantLease(seconds: number, onAnswer: (leaseId: string | StoreCallError) => void): void {
    this.#send({ type: 'grant-lease', seconds }, this.timings.storeTimeoutMs, (answer) =>
      onAnswer(answer?.type === 'lease' ? answer.leaseId : toStoreCallError(answer)),
    );
  }

  /** Without a timeout: a late response counts as well, since the renewed lease runs from the call's arrival. */
  renewLease(leaseId: string, onAnswer: (kept: true | StoreCallError) => void): void {
    this.#send({ type: 'keep-lease', leaseId }, undefined, (answer) =>
      onAnswer(answer?.type === 'done' ? true : toStoreCallError(answer)),
    );
  }

  revokeLease(leaseId: string, onAnswer: () => void): void {
    this.#send({ type: 'revoke-lease', leaseId }, this.timings.storeTimeoutMs, () => onAnswer());
  }

  control(
    action: ControlAction,
    instance: InstanceEntry,
    term: number,
    onAnswer: (answer: InstanceStatus | ControlFailure) => void,
  ): void {
    const timeoutMs =
      action === 'status' ? this.timings.probeTimeoutMs : this.timings.controlTimeoutMs;
    const request = { type: 'control', action, instance, term, timeoutMs } as const;
    this.#send(request, timeoutMs, (answer) => {
      if (answer?.type === 'status') onAnswer(answer.status);
      else onAnswer(answer?.type === 'control-failed' ? answer.failure : 'silent');
    });
  }

  promote(request: Omit<PromoteRequest, 'type'>, onAnswer: (outcome: PromoteOutcome) => void) {
    const timeoutMs = request.endsAt - this.now;
    this.#send({ type: 'promote', ...request }, timeoutMs, (answer) =>
      onAnswer(answer?.type === 'promotion' ? answer.outcome : 'unknown'),
    );
  }

  /** Discards all requests and timers. */
  clear(): void {
    this.timers.clear();
    this.#pending.clear();
  }

  #send(
    request: PromotionRequest,
    timeoutMs: Milliseconds | undefined,
    onAnswer: (answer: RequestAnswer | undefined) => void,
  ): void {
    const id = this.nextId();
    const onTimeout = (): void => {
      this.#pending.delete(id);
      onAnswer(undefined);
    };
    const cancelTimeout = timeoutMs === undefined ? () => {} : this.after(timeoutMs, onTimeout);
    this.#pending.set(id, { onAnswer, cancelTimeout });
    this.emit({ type: 'request', id, request });
  }
}

/** Distinguishes a failed call from a response. */
export function isStoreCallError(answer: unknown): answer is StoreCallError {
  return typeof answer === 'object' && answer !== null && 'isLeaseGone' in answer;
}

function isStoreResponse(answer: RequestAnswer): boolean {
  if (answer.type === 'store-failed') return answer.hasResponded;
  return STORE_RESPONSES.has(answer.type);
}

function toStoreCallError(answer: RequestAnswer | undefined): StoreCallError {
  if (answer?.type !== 'store-failed') return NO_RESPONSE;
  return { isLeaseGone: answer.isLeaseGone, retryAfterMs: answer.retryAfterMs ?? 0 };
}
