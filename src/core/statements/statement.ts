/**
 * Statements of callers and what instances answer to them, free of any wire's spelling. Which answers
 * are promises that nothing was kept is decided here, in one place.
 */
import type { Position } from '../position.js';
import type { Access } from '../request.js';

/** One statement as a caller asks for it. */
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

/** Why a statement was not answered with success. */
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

/** Idle, inside a transaction, or inside one that failed and can only end. */
export type TransactionState = 'idle' | 'open' | 'failed';

/** The whole answer of an instance to one statement. */
export interface StatementAnswer {
  /** Rows and completion as the instance wrote them; empty if it answered with an error. */
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

/** True if an instance that answers so has not run the statement, and will not. */
export function isNotExecuted(code: StatementErrorCode): boolean {
  return NOT_EXECUTED_CODES.has(code);
}
