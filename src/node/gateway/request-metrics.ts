/** What a gateway reports about each request that has ended. */
import type { FailureOutcome } from '../../core/errors.js';
import type { Access } from '../../core/request.js';

/** One request that ended. */
export interface EndedRequest {
  /** Identifies the request on the gateway and on the owner. */
  readonly requestId: string;
  readonly kind: string;
  readonly access: Access;
  readonly outcome: 'done' | FailureOutcome;
  readonly route: 'primary' | 'replica';
  /** Error code of a request that failed; undefined if it was done. */
  readonly reason: string | undefined;
  readonly elapsedMs: number;
}

/** Receives a report of each request that has ended. */
export interface RequestMetrics {
  requestEnded(request: EndedRequest): void;
}
