/** Measures the duration of a session's request and reports its end to the metrics. */
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

/** Observes one request at a time; each is reported once. */
export class RequestObserver {
  #running: SentRequest | undefined;
  #startedAt: Milliseconds = 0;
  #deadline: Milliseconds = 0;

  constructor(private readonly metrics: RequestMetrics) {}

  /** Access of the running request; undefined if there is none. */
  get access(): Access | undefined {
    return this.#running?.access;
  }

  /** Time until the deadline of the latest request, also once it has ended. */
  get remainingMs(): Milliseconds {
    return this.#deadline - monotonicNow();
  }

  /** The request is about to be sent. */
  recordStart(request: SentRequest): void {
    this.#running = request;
    this.#startedAt = monotonicNow();
    this.#deadline = this.#startedAt + request.terms.deadlineMs;
  }

  /** The request's response is complete. */
  recordDone(fromReplica: boolean): void {
    this.#report('done', fromReplica, undefined);
  }

  /** The request ended with this error. */
  recordFailure(error: RequestError): void {
    this.#report(error.outcome, false, error.code);
  }

  #report(
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
