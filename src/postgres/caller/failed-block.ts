/**
 * A transaction block that the proxy failed by refusing one of its statements, while the back end
 * knows nothing of the failure. As in PostgreSQL, only the end of the block is let through, and
 * COMMIT rolls back.
 */
import { err, ok, type Result } from 'neverthrow';
import { classify } from '../statements/classify.js';
import { FailedTransactionError } from './errors.js';

const ROLLBACK = 'ROLLBACK';

/** ROLLBACK TO [SAVEPOINT] undoes the part that failed, so that the block may go on. */
const ROLLBACK_TO_SAVEPOINT = /^\s*rollback(\s+(work|transaction))?\s+to\s/i;

/** The text to run in place of `text`; an error if it has to be refused. */
export function textInFailedBlock(text: string): Result<string, FailedTransactionError> {
  if (ROLLBACK_TO_SAVEPOINT.test(text)) return ok(text);
  const control = classify(text).transactionControl;
  if (control === 'rollback') return ok(text);
  if (control === 'commit') return ok(ROLLBACK);
  return err(new FailedTransactionError());
}
