/** What a statement outside any transaction asks for, what one attempt gives, and what its caller is told. */
import type { Result } from 'neverthrow';
import type { Position } from '../core/position.js';
import type { PreparedStatement } from '../core/statements/session-values.js';
import type { StatementAnswer, StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { Cancellation } from './cancellation.js';
import { type InstanceConnectionLostError, InstanceQueueFullError } from './errors.js';
import type { InstanceConnection } from './instance-connection.js';
import type { AcquireError, ConnectionRequest } from './instance-pool.js';
import type { InstanceRuntime } from './service-runtime.js';
import type { Placement } from './target-chooser.js';

export interface StatementRequest extends Placement {
  readonly prepared: PreparedStatement | undefined;
  readonly deadline: Milliseconds;
  /** The message for an instance, with the position it must have. */
  encode(after: Position | undefined): string;
}

/** Told to callers whose statement has not run: when to ask again. */
export const RETRY_AFTER_MS: Milliseconds = 100;

export interface Refusal {
  readonly code: StatementErrorCode;
  readonly text: string;
  /** The instance has no room for it now. */
  readonly isForLackOfCapacity?: boolean;
}

export type StatementOutcome =
  | { readonly type: 'answered'; readonly answer: StatementAnswer }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** An answer, or how the connection ended before it came. */
export type ExchangeResult = Result<StatementAnswer, InstanceConnectionLostError>;

/** How one attempt at one instance ended. */
export type Attempt =
  | {
      readonly type: 'answered';
      readonly answer: StatementAnswer;
      readonly instance: InstanceRuntime;
    }
  /** Nothing of it ran; whether it got as far as the instance. */
  | {
      readonly type: 'not-run';
      readonly refusal: Refusal;
      readonly instance: InstanceRuntime;
      readonly isReached: boolean;
    }
  /** Nothing of it ran: its tenant has too much waiting there, and asking again is of no use now. */
  | {
      readonly type: 'over-limit';
      readonly refusal: Refusal;
      readonly instance: InstanceRuntime;
      readonly isReached: false;
    }
  /** It may have run. */
  | { readonly type: 'unknown'; readonly instance: InstanceRuntime; readonly fault: string };

/** An exchange that had no answer. */
export interface LostAnswer {
  readonly request: Pick<StatementRequest, 'service'>;
  readonly instance: InstanceRuntime;
  readonly connection: InstanceConnection;
  /** Undefined if none came in time. */
  readonly answer: ExchangeResult | undefined;
  readonly sentAt: Milliseconds;
}

export function refuse(code: StatementErrorCode, text: string): StatementOutcome {
  return { type: 'refused', refusal: { code, text } };
}

/** Asks for a connection for this statement, within its tenant's policy. */
export function connectionRequestOf(
  request: Pick<StatementRequest, 'tenant' | 'account' | 'session' | 'deadline' | 'beganAt'>,
  cancelledBy: readonly Cancellation[],
  isTransaction = false,
): ConnectionRequest {
  const { name, policy } = request.tenant;
  return {
    latencyTargetAt: request.beganAt + policy.targetLatencyMs,
    isTransaction,
    tenant: name,
    account: request.account,
    priority: policy.priority,
    policy: policy.connections,
    values: request.session.values,
    deadline: request.deadline,
    cancelledBy,
  };
}

/** What the caller is told if no connection was had. */
export function refusalOf(error: AcquireError): Refusal {
  return error instanceof InstanceQueueFullError
    ? { code: 'busy', text: 'too many statements wait', isForLackOfCapacity: true }
    : { code: 'busy', text: 'no connection' };
}

/** An attempt that did not get as far as the instance. */
export function notSent(instance: InstanceRuntime, text: string): Attempt {
  return { type: 'not-run', refusal: { code: 'busy', text }, instance, isReached: false };
}

/** Why there was no answer: none in time, or whose connection ended. */
export function faultOf(answer: ExchangeResult | undefined): string {
  return answer?.isErr() ? answer.error.fault : 'silence';
}
