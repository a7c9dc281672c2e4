/** What a gateway reports of each request that ended. */
import type { FailureOutcome } from '../../core/errors.js';
import type { Access } from '../../core/request.js';

/** One request that ended. */
export interface EndedRequest {
  /** Follows the request over both hops. */
  readonly requestId: string;
  readonly kind: string;
  readonly access: Access;
  readonly outcome: 'done' | FailureOutcome;
  readonly route: 'primary' | 'replica';
  /** Of a request that was not run or whose outcome is unknown: the reason in its error. */
  readonly reason: string | undefined;
  readonly elapsedMs: number;
}

/** Takes the ends of requests. */
export interface RequestMetrics {
  requestEnded(request: EndedRequest): void;
}
