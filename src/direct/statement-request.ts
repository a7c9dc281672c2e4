/** Types of a statement outside any transaction: its request, the result of an attempt, its outcome for the caller. */
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
  /** Encodes the message for an instance; `after`: log position that the instance must have reached. */
  encode(after: Position | undefined): string;
}

/** Retry delay suggested to the caller of a statement that has not run. */
export const RETRY_AFTER_MS: Milliseconds = 100;

export interface Refusal {
  readonly code: StatementErrorCode;
  readonly text: string;
  /** The instance has no capacity for the statement now. */
  readonly isForLackOfCapacity?: boolean;
}

export type StatementOutcome =
  | { readonly type: 'answered'; readonly answer: StatementAnswer }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** A response, or the error of a connection that ended before it arrived. */
export type ExchangeResult = Result<StatementAnswer, InstanceConnectionLostError>;

/** The result of one attempt at one instance. */
export type Attempt =
  | {
      readonly type: 'answered';
      readonly answer: StatementAnswer;
      readonly instance: InstanceRuntime;
    }
  /** The statement has not run; `isReached`: the instance itself refused it. */
  | {
      readonly type: 'not-run';
      readonly refusal: Refusal;
      readonly instance: InstanceRuntime;
      readonly isReached: boolean;
    }
  /** The statement has not run: too many of its tenant wait for the instance, and a retry there is useless now. */
  | {
      readonly type: 'over-limit';
      readonly refusal: Refusal;
      readonly instance: InstanceRuntime;
      readonly isReached: false;
    }
  /** The statement may have run. */
  | { readonly type: 'unknown'; readonly instance: InstanceRuntime; readonly fault: string };

/** An exchange without a response. */
export interface LostAnswer {
  readonly request: Pick<StatementRequest, 'service'>;
  readonly instance: InstanceRuntime;
  readonly connection: InstanceConnection;
  /** Undefined after a timeout. */
  readonly answer: ExchangeResult | undefined;
  readonly sentAt: Milliseconds;
}

export function refuse(code: StatementErrorCode, text: string): StatementOutcome {
  return { type: 'refused', refusal: { code, text } };
}

/** The request for a connection for this statement, within its tenant's policy. */
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

/** The refusal for a caller whose statement got no connection. */
export function refusalOf(error: AcquireError): Refusal {
  return error instanceof InstanceQueueFullError
    ? { code: 'busy', text: 'too many statements wait', isForLackOfCapacity: true }
    : { code: 'busy', text: 'no connection' };
}

/** An attempt that did not reach the instance. */
export function notSent(instance: InstanceRuntime, text: string): Attempt {
  return { type: 'not-run', refusal: { code: 'busy', text }, instance, isReached: false };
}

/** Why there was no response: a timeout (`silence`), or which side ended the connection. */
export function faultOf(answer: ExchangeResult | undefined): string {
  return answer?.isErr() ? answer.error.fault : 'silence';
}
