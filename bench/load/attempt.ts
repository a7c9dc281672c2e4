/** Runs one attempt on a connection and reports what came back. */
import type { QueryResult } from 'pg';
import type { AnswerRecord, VersionedKey } from '../history/model.js';
import { type AttemptFailure, failureOf } from './outcome.js';
import type { SessionClient } from './session-client.js';
import type { AttemptPlan, Statement } from './statements.js';

/** What one attempt gave. */
export interface AttemptResult {
  /** Undefined: done. */
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

interface StatementAnswer {
  readonly statement: Statement;
  readonly rows: readonly AnswerRow[];
  readonly answerCount: number;
}

/** The transaction was rolled back, or its connection lost before COMMIT was sent. */
const ROLLED_BACK_CODE = 'MS-TRANSACTION-ABORTED';

export async function runAttempt(
  client: SessionClient,
  plan: AttemptPlan,
  attemptId: string,
): Promise<AttemptResult> {
  const answers: StatementAnswer[] = [];
  const failure = plan.transaction
    ? await runTransaction(client, plan, answers)
    : await runStatements(client, plan, answers);
  return resultOf(plan, attemptId, answers, failure);
}

async function runStatements(
  client: SessionClient,
  plan: AttemptPlan,
  answers: StatementAnswer[],
): Promise<AttemptFailure | undefined> {
  try {
    for (const statement of plan.statements) answers.push(await runStatement(client, statement));
    return undefined;
  } catch (error) {
    return failureOf(error);
  }
}

async function runTransaction(
  client: SessionClient,
  plan: AttemptPlan,
  answers: StatementAnswer[],
): Promise<AttemptFailure | undefined> {
  const refused = await runControl(client, `BEGIN${plan.markers}`);
  if (refused !== undefined) return refused;
  const failure = await runStatements(client, plan, answers);
  if (failure === undefined) return runControl(client, 'COMMIT');
  if (failure.ending === 'answered') await runControl(client, 'ROLLBACK');
  // Nothing was committed, whatever became of the statement.
  return { ...failure, outcome: 'failed', errorCode: rolledBackCode(failure) };
}

/** A statement refused as not run inside of a transaction leaves the whole to be tried again. */
function rolledBackCode(failure: AttemptFailure): string {
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
    return failureOf(error);
  }
}

/** COMMIT of a failed transaction is answered by ROLLBACK. */
const COMMIT_ROLLED_BACK: AttemptFailure = {
  ending: 'answered',
  outcome: 'failed',
  errorCode: ROLLED_BACK_CODE,
  retryAfterMs: undefined,
};

async function runStatement(client: SessionClient, statement: Statement): Promise<StatementAnswer> {
  const answer: QueryResult<AnswerRow> | QueryResult<AnswerRow>[] = await client.query<AnswerRow>(
    statement.text,
    [...statement.values],
  );
  const results = Array.isArray(answer) ? answer : [answer];
  const rows = results.flatMap((result) => result.rows);
  return { statement, rows, answerCount: results.length };
}

function resultOf(
  plan: AttemptPlan,
  attemptId: string,
  answers: readonly StatementAnswer[],
  failure: AttemptFailure | undefined,
): AttemptResult {
  const done = failure === undefined;
  const inserted = plan.effectRows.map((key) => ({ key, version: 1 }));
  const wrote = answers.filter(({ statement }) => statement.writes).flatMap(versionsOf);
  const saw = answers.filter(({ statement }) => !statement.writes).flatMap(versionsOf);
  const onReplica = answers.flatMap(({ rows }) => rows).find((row) => row.on_replica !== undefined);
  return {
    failure,
    wrote: done ? [...inserted, ...wrote] : [],
    saw: done ? saw : [],
    answer: answers.length === 0 ? undefined : answerRecordOf(attemptId, answers),
    servedBy: onReplica === undefined ? undefined : onReplica.on_replica ? 'replica' : 'primary',
  };
}

function versionsOf({ statement, rows }: StatementAnswer): VersionedKey[] {
  if (statement.table === undefined) return [];
  if (rows.length === 0 && statement.pointKey !== undefined) {
    return [{ key: statement.pointKey, version: 0 }];
  }
  return rows.map((row) => ({ key: `${statement.table}/${row.key}`, version: row.version ?? 0 }));
}

function answerRecordOf(attemptId: string, answers: readonly StatementAnswer[]): AnswerRecord {
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
    answerCount: Math.max(...answers.map((answer) => answer.answerCount)),
  };
}
