/**
 * Rules for a transaction block that is failed for the caller because the proxy refused one of its
 * statements, while on the back end the block is still in progress. As in PostgreSQL, only statements that
 * end the block or roll back to a savepoint are allowed, and COMMIT rolls back.
 */
import { err, ok, type Result } from 'neverthrow';
import { classify } from '../statements/classify.js';
import { FailedTransactionError } from './errors.js';

const ROLLBACK = 'ROLLBACK';

/** Matches ROLLBACK TO [SAVEPOINT], which undoes the failed part, so that the block may continue. */
const ROLLBACK_TO_SAVEPOINT = /^\s*rollback(\s+(work|transaction))?\s+to\s/i;

/** Returns the text to run in place of `text`; an error if `text` has to be refused. */
export function rewriteInFailedBlock(text: string): Result<string, FailedTransactionError> {
  if (ROLLBACK_TO_SAVEPOINT.test(text)) return ok(text);
  const control = classify(text).transactionControl;
  if (control === 'rollback') return ok(text);
  if (control === 'commit') return ok(ROLLBACK);
  return err(new FailedTransactionError());
}
