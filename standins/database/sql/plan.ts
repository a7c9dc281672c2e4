/** Interface of a compiled statement, which a session executes. */
import type { Transaction } from '../storage/transaction.js';
import type { EvaluationContext, ParameterTypes, ScopeColumn } from './evaluation.js';
import type { Row } from './types.js';

export type ResultColumn = ScopeColumn;

/** Context of one execution. */
export interface ExecutionContext extends EvaluationContext {
  readonly transaction: Transaction;
}

export interface StatementResult {
  /** Rows to return, computed when they are read; all changes are made before the first one. */
  readonly rows: Iterable<Row>;
  /** Number of affected rows, for the command tag of INSERT, UPDATE and DELETE. */
  readonly affected: number;
}

export interface Plan {
  /** Undefined: the statement returns no rows. */
  readonly columns: readonly ResultColumn[] | undefined;
  readonly parameters: ParameterTypes;
  readonly writes: boolean;
  /** False for statements that call only status functions: they need no slot and no service time. */
  readonly needsSlot: boolean;
  /** Runs synchronously. @throws RowLockedSignal to be run again after the lock is released. */
  readonly execute: (context: ExecutionContext) => StatementResult;
  /** Command tag, such as `SELECT 3`. */
  readonly tag: (rowsReturned: number, affected: number) => string;
}
