/** What a compiled statement offers to the session that executes it. */
import type { Transaction } from '../storage/transaction.js';
import type { EvaluationContext, ParameterTypes, ScopeColumn } from './evaluation.js';
import type { Row } from './types.js';

export type ResultColumn = ScopeColumn;

/** Context of one execution. */
export interface ExecutionContext extends EvaluationContext {
  readonly transaction: Transaction;
}

export interface StatementResult {
  /** Rows to return, made as they are read; changes are done before the first one is. */
  readonly rows: Iterable<Row>;
  /** Rows affected, for the command tag of INSERT, UPDATE and DELETE. */
  readonly affected: number;
}

export interface Plan {
  /** Undefined: the statement returns no rows. */
  readonly columns: readonly ResultColumn[] | undefined;
  readonly parameters: ParameterTypes;
  readonly writes: boolean;
  /** False for statements of status functions only: they take no slot and no service time. */
  readonly needsSlot: boolean;
  /** Runs in one go; throws RowLockedSignal to be run again after the lock's end. */
  readonly execute: (context: ExecutionContext) => StatementResult;
  /** Command tag, such as `SELECT 3`. */
  readonly tag: (rowsReturned: number, affected: number) => string;
}
