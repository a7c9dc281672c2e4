/**
 * Logs requests: for a failed or late one its outcome and each decision about it, for a sample of the
 * others only the outcome. The sample is derived from the request id, so that all nodes log the same
 * requests.
 */
import type { StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import { EventLimit } from '../observability/event-limit.js';
import type { Logger } from '../observability/logger.js';
import type { RouteConsistency } from './contract.js';
import type { RequestTrace } from './request-trace.js';

/** Maximum number of logged requests of each outcome per second. */
const MAX_LOGGED_PER_SECOND = 20;
/** One in this many successful requests is logged. */
const SUCCESSES_PER_SAMPLE = 1024;

/** The outcome of a request for its caller. */
export interface RequestEnd {
  readonly id: string;
  readonly database: string;
  readonly service: string;
  readonly routeType: RouteConsistency;
  /** Undefined if it succeeded. */
  readonly code: StatementErrorCode | undefined;
  readonly text: string;
  readonly targetLatencyMs: Milliseconds;
  readonly trace: RequestTrace;
}

/** Is notified of the end of each request. */
export interface RequestLog {
  requestEnded(end: RequestEnd): void;
}

/** The error code of a failed request; for a successful one, whether it met its latency target. */
export function outcomeOf({ code, trace, targetLatencyMs }: RequestEnd, now: Milliseconds): string {
  return code ?? (now - trace.beganAt > targetLatencyMs ? 'late' : 'done');
}

/** A request log that notifies all of these. */
export function combineRequestLogs(logs: readonly RequestLog[]): RequestLog {
  return {
    requestEnded: (end) => {
      for (const log of logs) log.requestEnded(end);
    },
  };
}

export class RequestLogger implements RequestLog {
  readonly #limit = new EventLimit(MAX_LOGGED_PER_SECOND);

  constructor(
    private readonly logger: Logger,
    private readonly now: () => Milliseconds,
  ) {}

  requestEnded(end: RequestEnd): void {
    const tookMs = Math.round(this.now() - end.trace.beganAt);
    const outcome = outcomeOf(end, this.now());
    if (outcome === 'done' && !isSampled(end.id)) return;
    const { isAdmitted, leftOut } = this.#limit.admit(outcome, this.now());
    if (!isAdmitted) return;
    if (outcome !== 'done') this.#logSteps(end);
    const { id, database, service, text, trace } = end;
    this.logger.info('request ended', {
      ...{ request: id, database, service, outcome, text: text || undefined, tookMs },
      stepsLeftOut: trace.omittedSteps || undefined,
      alikeLeftOut: leftOut || undefined,
    });
  }

  #logSteps({ id, trace }: RequestEnd): void {
    for (const step of trace.steps) this.logger.info('request decided', { request: id, ...step });
  }
}

/** Request ids are random, so the end of an id serves as its hash. */
function isSampled(id: string): boolean {
  return Number.parseInt(id.slice(-6), 36) % SUCCESSES_PER_SAMPLE === 0;
}
