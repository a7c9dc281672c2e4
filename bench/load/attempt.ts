/** Runs one attempt of a request on a connection and collects its result. */
import type { QueryResult } from 'pg';
import type { AnswerRecord, VersionedKey } from '../history/model.js';
import { type AttemptFailure, toAttemptFailure } from './outcome.js';
import type { SessionClient } from './session-client.js';
import type { AttemptPlan, Statement } from './statements.js';

/** Result of one attempt. */
export interface AttemptResult {
  /** Undefined if the attempt succeeded. */
  readonly failure: AttemptFailure | undefined;
  readonly wrote: readonly VersionedKey[];
  readonly saw: readonly VersionedKey[];
  readonly answer: AnswerRecord | undefined;
  readonly servedBy: 'primary' | 'replica' | undefined;
}

interface AnswerRow {
  readonly key?: string | number;
  readonly version?: number;
  readonly echo?: string;
  readonly on_replica?: boolean;
}

interface StatementResult {
  readonly statement: Statement;
  readonly rows: readonly AnswerRow[];
  readonly resultCount: number;
}

/** The transaction was rolled back, or the connection was lost before COMMIT was sent. */
const ROLLED_BACK_CODE = 'MS-TRANSACTION-ABORTED';

export async function runAttempt(
  client: SessionClient,
  plan: AttemptPlan,
  attemptId: string,
): Promise<AttemptResult> {
  const answers: StatementResult[] = [];
  const failure = plan.isTransaction
    ? await runTransaction(client, plan, answers)
    : await runStatements(client, plan, answers);
  return toAttemptResult(plan, attemptId, answers, failure);
}

async function runStatements(
  client: SessionClient,
  plan: AttemptPlan,
  answers: StatementResult[],
): Promise<AttemptFailure | undefined> {
  try {
    for (const statement of plan.statements) answers.push(await runStatement(client, statement));
    return undefined;
  } catch (error) {
    return toAttemptFailure(error);
  }
}

async function runTransaction(
  client: SessionClient,
  plan: AttemptPlan,
  answers: StatementResult[],
): Promise<AttemptFailure | undefined> {
  const beginFailure = await runControl(client, `BEGIN${plan.markers}`);
  if (beginFailure !== undefined) return beginFailure;
  const failure = await runStatements(client, plan, answers);
  if (failure === undefined) return runControl(client, 'COMMIT');
  if (failure.ending === 'answered') await runControl(client, 'ROLLBACK');
  // COMMIT was not sent, so nothing was committed, even if the statement's outcome is unknown.
  return { ...failure, outcome: 'failed', errorCode: rollbackErrorCode(failure) };
}

/** A statement that failed keeps its own code; any other failure lets the whole transaction be retried. */
function rollbackErrorCode(failure: AttemptFailure): string {
  return failure.outcome === 'failed' ? failure.errorCode : ROLLED_BACK_CODE;
}

async function runControl(
  client: SessionClient,
  text: string,
): Promise<AttemptFailure | undefined> {
  try {
    const result = await client.query(text);
    if (text === 'COMMIT' && result.command === 'ROLLBACK') return COMMIT_ROLLED_BACK;
    return undefined;
  } catch (error) {
    return toAttemptFailure(error);
  }
}

/** PostgreSQL answers COMMIT of a failed transaction with the command tag ROLLBACK. */
const COMMIT_ROLLED_BACK: AttemptFailure = {
  ending: 'answered',
  outcome: 'failed',
  errorCode: ROLLED_BACK_CODE,
  retryAfterMs: undefined,
};

async function runStatement(client: SessionClient, statement: Statement): Promise<StatementResult> {
  const answer: QueryResult<AnswerRow> | QueryResult<AnswerRow>[] = await client.query<AnswerRow>(
    statement.text,
    [...statement.values],
  );
  const results = Array.isArray(answer) ? answer : [answer];
  const rows = results.flatMap((result) => result.rows);
  return { statement, rows, resultCount: results.length };
}

function toAttemptResult(
  plan: AttemptPlan,
  attemptId: string,
  answers: readonly StatementResult[],
  failure: AttemptFailure | undefined,
): AttemptResult {
  const done = failure === undefined;
  const inserted = plan.effectRows.map((key) => ({ key, version: 1 }));
  const wrote = answers.filter(({ statement }) => statement.isWrite).flatMap(toVersionedKeys);
  const saw = answers.filter(({ statement }) => !statement.isWrite).flatMap(toVersionedKeys);
  const onReplica = answers.flatMap(({ rows }) => rows).find((row) => row.on_replica !== undefined);
  return {
    failure,
    wrote: done ? [...inserted, ...wrote] : [],
    saw: done ? saw : [],
    answer: answers.length === 0 ? undefined : toAnswerRecord(attemptId, answers),
    servedBy: onReplica === undefined ? undefined : onReplica.on_replica ? 'replica' : 'primary',
  };
}

function toVersionedKeys({ statement, rows }: StatementResult): VersionedKey[] {
  if (statement.table === undefined) return [];
  if (rows.length === 0 && statement.pointKey !== undefined) {
    return [{ key: statement.pointKey, version: 0 }];
  }
  return rows.map((row) => ({ key: `${statement.table}/${row.key}`, version: row.version ?? 0 }));
}

function toAnswerRecord(attemptId: string, answers: readonly StatementResult[]): AnswerRecord {
  const withRows = answers.filter(({ statement }) => statement.table !== undefined);
  const rows = withRows.flatMap((answer) => answer.rows);
  const expected = withRows.map(({ statement }) => statement.expectedRows);
  const countable = expected.filter((count) => count !== undefined);
  const total = countable.reduce((sum, count) => sum + count, 0);
  return {
    expectedEcho: attemptId,
    receivedEchoes: [...new Set(rows.map((row) => row.echo ?? 'none'))],
    expectedRows: countable.length === expected.length ? total : undefined,
    receivedRows: rows.length,
    answerCount: Math.max(...answers.map((answer) => answer.resultCount)),
  };
}
