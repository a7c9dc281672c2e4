/** Times the request that a session runs, and reports its end to the metrics. */
import type { RequestError } from '../../core/errors.js';
import type { Access } from '../../core/request.js';
import type { Milliseconds } from '../../core/units.js';
import { monotonicNow } from '../clock.js';
import type { RequestMetrics } from './request-metrics.js';
import type { RequestTerms } from './request-policy.js';

/** One request that was sent to an owner. */
export interface SentRequest {
  readonly requestId: string;
  readonly terms: RequestTerms;
  readonly access: Access;
}

/** Follows one request at a time; each is reported once. */
export class RequestObserver {
  #running: SentRequest | undefined;
  #startedAt: Milliseconds = 0;
  #deadlineAt: Milliseconds = 0;

  constructor(private readonly metrics: RequestMetrics) {}

  /** Access of the request that runs; undefined if none does. */
  get access(): Access | undefined {
    return this.#running?.access;
  }

  /** What is left of the latest request's time, also once it has ended. */
  get remainingMs(): Milliseconds {
    return this.#deadlineAt - monotonicNow();
  }

  /** The request is about to be sent. */
  started(request: SentRequest): void {
    this.#running = request;
    this.#startedAt = monotonicNow();
    this.#deadlineAt = this.#startedAt + request.terms.deadlineMs;
  }

  /** The request's answer is whole. */
  done(fromReplica: boolean): void {
    this.#ended('done', fromReplica, undefined);
  }

  /** The request ended with this error. */
  failed(error: RequestError): void {
    this.#ended(error.outcome, false, error.code);
  }

  #ended(
    outcome: 'done' | RequestError['outcome'],
    fromReplica: boolean,
    reason: string | undefined,
  ): void {
    const running = this.#running;
    if (running === undefined) return;
    this.#running = undefined;
    this.metrics.requestEnded({
      requestId: running.requestId,
      kind: running.terms.kind,
      access: running.access,
      outcome,
      route: fromReplica ? 'replica' : 'primary',
      reason,
      elapsedMs: monotonicNow() - this.#startedAt,
    });
  }
}
