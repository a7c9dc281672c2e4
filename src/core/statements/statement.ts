/**
 * Statements of callers and the responses of instances, independent of the wire format. This module alone
 * decides which errors guarantee that the statement was not executed.
 */
import type { Position } from '../position.js';
import type { Access } from '../request.js';

/** A statement from a caller. */
export type Statement =
  | { readonly type: 'begin'; readonly readOnly: boolean }
  | { readonly type: 'commit' }
  | { readonly type: 'rollback' }
  | { readonly type: 'run'; readonly access: Access }
  | { readonly type: 'set'; readonly name: string; readonly value: string }
  | {
      readonly type: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  | { readonly type: 'execute'; readonly name: string; readonly argumentText: string }
  | { readonly type: 'deallocate'; readonly name: string }
  | { readonly type: 'invalid'; readonly reason: string };

/** Why a statement did not succeed. */
export type StatementErrorCode =
  | 'busy'
  | 'aborted'
  | 'lagging'
  | 'read-only'
  | 'misrouted'
  | 'connection-limit'
  | 'in-doubt'
  | 'timeout'
  | 'failed'
  | 'unprepared'
  | 'no-database'
  | 'unknown-key'
  | 'malformed'
  | 'too-large';

/** Idle, inside a transaction, or inside a failed transaction that can only be ended. */
export type TransactionState = 'idle' | 'open' | 'failed';

/** The complete response of an instance to one statement. */
export interface StatementAnswer {
  /** Rows and completion as the instance sent them; empty if it responded with an error. */
  readonly payload: string;
  readonly error: { readonly code: StatementErrorCode; readonly text: string } | undefined;
  readonly state: TransactionState;
  readonly position: Position | undefined;
}

const NOT_EXECUTED_CODES: ReadonlySet<StatementErrorCode> = new Set([
  'busy',
  'lagging',
  'read-only',
  'misrouted',
  'connection-limit',
  'unprepared',
]);

/** True if an instance that responds with this code has not executed the statement and will not. */
export function isNotExecuted(code: StatementErrorCode): boolean {
  return NOT_EXECUTED_CODES.has(code);
}
