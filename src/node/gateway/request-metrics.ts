/** What a gateway reports of each request that ended. */
import type { FailureOutcome } from '../../core/errors.js';
import type { Access } from '../../core/request.js';

export interface EndedRequest {
  readonly kind: string;
  readonly access: Access;
  readonly outcome: 'done' | FailureOutcome;
  readonly route: 'primary' | 'replica';
  readonly elapsedMs: number;
}

export interface RequestMetrics {
  requestEnded(request: EndedRequest): void;
}
