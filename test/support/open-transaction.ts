/** Runs a caller's transaction up to a given step, for tests that inject a fault there. */
import type pg from 'pg';
import type { Cluster } from '../../bench/harness/cluster.js';
import { GROUP, type TestCaller } from './cluster.js';
import { until } from './until.js';

/** Steps of a transaction. */
export const TRANSACTION_STEPS = [
  'BEGIN is on its way',
  'BEGIN was answered',
  'a statement is running',
  'a statement was answered',
  'COMMIT is on its way',
] as const;
export type TransactionStep = (typeof TRANSACTION_STEPS)[number];

const LONG_SLEEP = 'SELECT pg_sleep(15)';

/** Outcome of a statement at the caller: its error, or undefined on success. */
export type Outcome = Promise<pg.DatabaseError | undefined>;

/** A statement that has no response yet; wrapped, so that awaiting the step does not await the response. */
export interface PendingStatement {
  readonly answer: Outcome;
}

const NOTHING_PENDING: PendingStatement = { answer: Promise.resolve(undefined) };

/**
 * Runs the caller's transaction, which inserts `rowId`, up to a step. At the steps named "on its way" the primary has
 * executed the statement, but its response is held back until the route is restored.
 */
export async function advanceTransaction(
  cluster: Cluster,
  { client }: TestCaller,
  step: TransactionStep,
  rowId: number,
): Promise<Promise<PendingStatement>> {
  const group = cluster.group(GROUP);
  const { name } = await group.waitForPrimary();
  const holdResponses = () => cluster.faults.setFaults(name, { down: { cut: true } });
  if (step === 'BEGIN is on its way') {
    await holdResponses();
    const answer = errorOf(client.query('BEGIN'));
    await group.waitForState(name, (state) => state.openTransactions === 1);
    return { answer };
  }
  await client.query('BEGIN');
  if (step === 'BEGIN was answered') return NOTHING_PENDING;
  await client.query('INSERT INTO orders VALUES ($1, $2)', [rowId, step]);
  if (step === 'a statement was answered') return NOTHING_PENDING;
  if (step === 'a statement is running') {
    const answer = errorOf(client.query(LONG_SLEEP));
    await group.waitForState(name, (state) => state.slotsInUse === 1);
    return { answer };
  }
  await holdResponses();
  const answer = errorOf(client.query('COMMIT'));
  await until('the commit is in the log', async () => {
    const { entries } = await group.commitLog(name);
    return entries.some(({ keys }) => keys.includes(`orders/${rowId} put`));
  });
  return { answer };
}

/** The error of a query, or undefined on success. */
export function errorOf(query: Promise<unknown>): Outcome {
  return query.then(
    () => undefined,
    (error: pg.DatabaseError) => error,
  );
}
