/**
 * Lines about requests: one for each decision about a request that failed or came late, and one line in
 * all for a sample of the others. The sample follows from the request's id, so that all nodes keep the
 * lines of the same requests.
 */
import type { StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import { EventLimit } from '../observability/event-limit.js';
import type { Logger } from '../observability/logger.js';
import type { RouteConsistency } from './contract.js';
import type { RequestTrace } from './request-trace.js';

/** Failed or late requests of each outcome whose decisions are written, in a second. */
const MAX_LOGGED_PER_SECOND = 20;
/** One in so many requests that went well. */
const SUCCESSES_PER_SAMPLE = 1024;

/** How a request ended for its caller. */
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

/** Takes the end of each request. */
export interface RequestLog {
  requestEnded(end: RequestEnd): void;
}

/** What became of a request, in one word: the code of its error, or whether it came in its aim. */
export function outcomeOf({ code, trace, targetLatencyMs }: RequestEnd, now: Milliseconds): string {
  return code ?? (now - trace.beganAt > targetLatencyMs ? 'late' : 'done');
}

/** Tells each of these. */
export function combineRequestLogs(logs: readonly RequestLog[]): RequestLog {
  return {
    requestEnded: (end) => {
      for (const log of logs) log.requestEnded(end);
    },
  };
}

/** Writes lines with a logger. */
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

/** The ids are random text: the end of one decides as well as any hash. */
function isSampled(id: string): boolean {
  return Number.parseInt(id.slice(-6), 36) % SUCCESSES_PER_SAMPLE === 0;
}
