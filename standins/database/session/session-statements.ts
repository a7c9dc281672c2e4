/** Statements that control the session: transactions, settings, prepared statements. */
import { ServerError, ServerSqlState } from '../errors.js';
import type { ResultColumn } from '../sql/plan.js';
import type { ParsedStatement, QueryStatement } from '../sql/statements.js';
import type { Row } from '../sql/types.js';
import { noticeResponse } from '../wire/backend.js';
import type { Output } from '../wire/output.js';
import type { Settings } from './settings.js';
import type { TransactionBlock } from './transaction-block.js';

export type SessionStatement = Exclude<ParsedStatement, QueryStatement>;

export interface SessionState {
  readonly block: TransactionBlock;
  readonly settings: Settings;
  readonly output: Output;
  readonly isInRecovery: () => boolean;
  /** Undefined: all prepared statements. */
  readonly deallocate: (name: string | undefined) => void;
  readonly closePortals: () => void;
}

export interface SessionResult {
  readonly rows: readonly Row[];
  readonly tag: string;
}

/** Result columns of a statement; undefined if it returns no rows. */
export function sessionColumns(statement: SessionStatement): readonly ResultColumn[] | undefined {
  if (statement.kind !== 'show') return undefined;
  return [{ name: statement.name, type: 'text' }];
}

/** True for statements that are allowed in a failed transaction. */
export function endsFailedTransaction(statement: ParsedStatement): boolean {
  return ['commit', 'rollback', 'rollback-to'].includes(statement.kind);
}

export function executeSessionStatement(
  statement: SessionStatement,
  state: SessionState,
): SessionResult {
  const { block, settings } = state;
  switch (statement.kind) {
    case 'begin':
      return begin(statement.readOnly, statement.tag, state);
    case 'commit':
      if (!block.isExplicit) warnNoTransaction(state);
      return resultWithTag(block.commit() ? 'COMMIT' : 'ROLLBACK');
    case 'rollback':
      if (!block.isExplicit) warnNoTransaction(state);
      block.rollback();
      return resultWithTag('ROLLBACK');
    case 'savepoint':
      block.savepoint(statement.name);
      return resultWithTag('SAVEPOINT');
    case 'release':
      block.releaseSavepoint(statement.name);
      return resultWithTag('RELEASE');
    case 'rollback-to':
      block.rollbackToSavepoint(statement.name);
      return resultWithTag('ROLLBACK');
    case 'set':
      return set(statement.name, statement.value, statement.local, statement.tag, state);
    case 'show':
      return { rows: [[show(statement.name, state)]], tag: 'SHOW' };
    case 'reset-all':
      settings.resetAll();
      return resultWithTag('RESET');
    case 'deallocate':
      state.deallocate(statement.name);
      return resultWithTag(statement.name === undefined ? 'DEALLOCATE ALL' : 'DEALLOCATE');
    case 'discard-all':
      return discardAll(state);
  }
}

function resultWithTag(tag: string): SessionResult {
  return { rows: [], tag };
}

function begin(readOnly: boolean, tag: string, state: SessionState): SessionResult {
  const { block, settings } = state;
  if (!block.isOpen) settings.beginTransaction();
  const isReadOnlyByDefault = settings.get('default_transaction_read_only') === 'on';
  if (block.begin(readOnly || isReadOnlyByDefault)) {
    const text = 'there is already a transaction in progress';
    state.output.add(noticeResponse(ServerSqlState.ACTIVE_SQL_TRANSACTION, text));
  }
  return resultWithTag(tag);
}

function warnNoTransaction(state: SessionState): void {
  state.output.add(noticeResponse('25P01', 'there is no transaction in progress'));
}

function set(
  name: string,
  value: string | undefined,
  local: boolean,
  tag: string,
  state: SessionState,
): SessionResult {
  if (name === 'transaction_read_only') state.block.setReadOnly(value === 'on');
  else state.settings.set(name, value, local);
  return resultWithTag(tag);
}

function show(name: string, state: SessionState): string {
  const recovery = state.isInRecovery();
  if (name === 'in_hot_standby') return recovery ? 'on' : 'off';
  if (name === 'transaction_read_only') {
    const isReadOnlyByDefault = state.settings.get('default_transaction_read_only') === 'on';
    const readOnly =
      recovery || state.block.isReadOnly || (isReadOnlyByDefault && !state.block.isExplicit);
    return readOnly ? 'on' : 'off';
  }
  const known = name === 'transaction_isolation_level' ? 'transaction_isolation' : name;
  const value = state.settings.get(known);
  if (value !== undefined) return value;
  const message = `unrecognized configuration parameter "${name}"`;
  throw new ServerError(ServerSqlState.UNDEFINED_OBJECT, message);
}

function discardAll(state: SessionState): SessionResult {
  if (state.block.isExplicit) {
    const message = 'DISCARD ALL cannot run inside a transaction block';
    throw new ServerError(ServerSqlState.ACTIVE_SQL_TRANSACTION, message);
  }
  state.settings.resetAll();
  state.deallocate(undefined);
  state.closePortals();
  return resultWithTag('DISCARD ALL');
}
