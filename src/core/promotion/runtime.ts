/**
 * What the parts of the promotion machine share: the time of the event at hand, an agenda, and
 * requests with what follows their answers. Continuations make the order of steps readable; they run
 * only inside `handle`, so the machine stays a function of its events.
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

/** A call to the store failed, or no answer came in time: then it may have been done. */
export interface StoreTrouble {
  readonly leaseOver: boolean;
  readonly retryAfterMs: Milliseconds;
}

const NO_ANSWER: StoreTrouble = { leaseOver: false, retryAfterMs: 0 };

interface PendingRequest {
  /** Called with undefined if no answer came in time. */
  readonly onAnswer: (answer: RequestAnswer | undefined) => void;
  readonly cancelTimeout: () => void;
}

export class PromotionRuntime {
  now: Milliseconds = 0;
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

  /** A number that no other request or watch has. */
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

  answer(request: number, answer: RequestAnswer): void {
    const pending = this.#pending.get(request);
    if (pending === undefined) return;
    this.#pending.delete(request);
    pending.cancelTimeout();
    pending.onAnswer(answer);
  }

  range(prefix: string, onAnswer: (answer: RangeResponse | StoreTrouble) => void): void {
    this.#ask({ type: 'range', prefix }, this.timings.storeTimeoutMs, (answer) =>
      onAnswer(answer?.type === 'range' ? answer.range : troubleOf(answer)),
    );
  }

  transaction(
    compares: readonly RevisionCompare[],
    operations: readonly TransactionOperation[],
    onAnswer: (answer: TransactionResponse | StoreTrouble) => void,
  ): void {
    const request = { type: 'transaction', compares, operations } as const;
    this.#ask(request, this.timings.storeTimeoutMs, (answer) =>
      onAnswer(answer?.type === 'transaction' ? answer.transaction : troubleOf(answer)),
    );
  }

  grantLease(seconds: number, onAnswer: (leaseId: string | StoreTrouble) => void): void {
    this.#ask({ type: 'grant-lease', seconds }, this.timings.storeTimeoutMs, (answer) =>
      onAnswer(answer?.type === 'lease' ? answer.leaseId : troubleOf(answer)),
    );
  }

  /** A late answer counts as well: the lease ran on from the call's arrival. */
  keepLease(leaseId: string, onAnswer: (kept: true | StoreTrouble) => void): void {
    this.#ask({ type: 'keep-lease', leaseId }, undefined, (answer) =>
      onAnswer(answer?.type === 'done' ? true : troubleOf(answer)),
    );
  }

  revokeLease(leaseId: string, onAnswer: () => void): void {
    this.#ask({ type: 'revoke-lease', leaseId }, this.timings.storeTimeoutMs, () => onAnswer());
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
    this.#ask(request, timeoutMs, (answer) => {
      if (answer?.type === 'status') onAnswer(answer.status);
      else onAnswer(answer?.type === 'control-failed' ? answer.failure : 'silent');
    });
  }

  promote(request: Omit<PromoteRequest, 'type'>, onAnswer: (outcome: PromoteOutcome) => void) {
    const timeoutMs = request.endsAt - this.now;
    this.#ask({ type: 'promote', ...request }, timeoutMs, (answer) =>
      onAnswer(answer?.type === 'promotion' ? answer.outcome : 'unknown'),
    );
  }

  /** Forgets every request and deadline. */
  clear(): void {
    this.timers.clear();
    this.#pending.clear();
  }

  #ask(
    request: PromotionRequest,
    timeoutMs: Milliseconds | undefined,
    onAnswer: (answer: RequestAnswer | undefined) => void,
  ): void {
    const id = this.nextId();
    const giveUp = (): void => {
      this.#pending.delete(id);
      onAnswer(undefined);
    };
    const cancelTimeout = timeoutMs === undefined ? () => {} : this.after(timeoutMs, giveUp);
    this.#pending.set(id, { onAnswer, cancelTimeout });
    this.emit({ type: 'request', id, request });
  }
}

/** Tells trouble from an answer. */
export function isTrouble(answer: unknown): answer is StoreTrouble {
  return typeof answer === 'object' && answer !== null && 'leaseOver' in answer;
}

function troubleOf(answer: RequestAnswer | undefined): StoreTrouble {
  if (answer?.type !== 'store-failed') return NO_ANSWER;
  return { leaseOver: answer.isLeaseGone, retryAfterMs: answer.retryAfterMs ?? 0 };
}
