/** A caller's transaction, brought to a chosen step, for tests that break something just there. */
import type pg from 'pg';
import type { Cluster } from '../../bench/harness/cluster.js';
import { GROUP, type TestCaller } from './cluster.js';
import { until } from './until.js';

/** How far a transaction has come. */
export const TRANSACTION_STEPS = [
  'BEGIN is on its way',
  'BEGIN was answered',
  'a statement is running',
  'a statement was answered',
  'COMMIT is on its way',
] as const;
export type TransactionStep = (typeof TRANSACTION_STEPS)[number];

const LONG_SLEEP = 'SELECT pg_sleep(15)';

/** What the caller hears of a statement: its error, or undefined if it is done. */
export type Answer = Promise<pg.DatabaseError | undefined>;

/** A statement that is on its way; wrapped, so that waiting for the step is not waiting for it. */
export interface PendingStatement {
  readonly answer: Answer;
}

const NOTHING_PENDING: PendingStatement = { answer: Promise.resolve(undefined) };

/**
 * Brings the caller's transaction, which inserts `rowId`, to a step. At the steps on the way the
 * primary has done its part, but its answer is held until the route is healed.
 */
export async function bringTo(
  cluster: Cluster,
  { client }: TestCaller,
  step: TransactionStep,
  rowId: number,
): Promise<Promise<PendingStatement>> {
  const group = cluster.group(GROUP);
  const { name } = await group.waitForPrimary();
  const holdAnswers = () => cluster.faults.setFaults(name, { down: { cut: true } });
  if (step === 'BEGIN is on its way') {
    await holdAnswers();
    const answer = failureOf(client.query('BEGIN'));
    await group.waitForState(name, (state) => state.openTransactions === 1);
    return { answer };
  }
  await client.query('BEGIN');
  if (step === 'BEGIN was answered') return NOTHING_PENDING;
  await client.query('INSERT INTO orders VALUES ($1, $2)', [rowId, step]);
  if (step === 'a statement was answered') return NOTHING_PENDING;
  if (step === 'a statement is running') {
    const answer = failureOf(client.query(LONG_SLEEP));
    await group.waitForState(name, (state) => state.slotsInUse === 1);
    return { answer };
  }
  await holdAnswers();
  const answer = failureOf(client.query('COMMIT'));
  await until('the commit is in the log', async () => {
    const { entries } = await group.commitLog(name);
    return entries.some(({ keys }) => keys.includes(`orders/${rowId} put`));
  });
  return { answer };
}

/** The error of a query, or undefined if it is done. */
export function failureOf(query: Promise<unknown>): Answer {
  return query.then(
    () => undefined,
    (error: pg.DatabaseError) => error,
  );
}
