/**
 * Named prepared statements of one caller. The caller's names are kept here. On back-end connections each
 * statement has a name derived from its content, so that pooled connections can share and re-create it. The
 * unnamed statement stays unnamed within the batch that parses it: an error is then reported exactly where
 * PostgreSQL reports it, and one-off texts don't accumulate on back-end connections. A later batch that
 * binds it uses the name derived from its content.
 */
import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { PreparedStatement } from '../contract.js';
import { DuplicatePreparedStatementError, PreparedStatementLimitError } from './errors.js';

const BACKEND_NAME_PREFIX = 'ms_';
/** 128 bits: nobody can construct a collision by which one text would run in place of another. */
const BACKEND_NAME_DIGITS = 32;

/** Creates a statement with its name derived from text and types. */
export function createPreparedStatement(
  text: string,
  parameterTypes: readonly number[],
): PreparedStatement {
  const digest = createHash('sha256').update(parameterTypes.join()).update('\0').update(text);
  const backendName = BACKEND_NAME_PREFIX + digest.digest('hex').slice(0, BACKEND_NAME_DIGITS);
  return { backendName, text, parameterTypes };
}

function isSameStatement(left: PreparedStatement, right: PreparedStatement): boolean {
  return left.backendName === right.backendName;
}

export interface PreparedStatementLimits {
  readonly preparedStatements: number;
  readonly preparedStatementBytes: number;
}

/** A change of the running batch. It takes effect once its acknowledgement was sent to the caller. */
interface Change {
  readonly name: string;
  readonly before: PreparedStatement | undefined;
}

/** Named statements of a connection; the changes of the running batch can still be undone. */
export class PreparedStatementStore {
  private readonly statements = new Map<string, PreparedStatement>();
  private bytes = 0;
  private changes: Change[] = [];

  constructor(private readonly limits: PreparedStatementLimits) {}

  get(name: string): PreparedStatement | undefined {
    return this.statements.get(name);
  }

  /** Records a Parse. Repeating it with the same name and content is allowed. */
  add(
    name: string,
    statement: PreparedStatement,
  ): Result<void, DuplicatePreparedStatementError | PreparedStatementLimitError> {
    const before = this.statements.get(name);
    if (before !== undefined && !isSameStatement(before, statement)) {
      return err(new DuplicatePreparedStatementError(name));
    }
    const { preparedStatements, preparedStatementBytes } = this.limits;
    if (before === undefined && this.statements.size >= preparedStatements) {
      return err(new PreparedStatementLimitError(preparedStatements, 'statements'));
    }
    if (before === undefined && this.bytes + sizeOf(name, statement) > preparedStatementBytes) {
      return err(new PreparedStatementLimitError(preparedStatementBytes, 'bytes'));
    }
    this.changes.push({ name, before });
    this.replace(name, statement);
    return ok(undefined);
  }

  /** Records a Close. */
  remove(name: string): void {
    this.changes.push({ name, before: this.statements.get(name) });
    this.replace(name, undefined);
  }

  /** Ends the batch: its first `acknowledged` changes are kept, the others undone. */
  settleBatch(acknowledged: number): void {
    for (let index = this.changes.length - 1; index >= acknowledged; index -= 1) {
      const change = this.changes[index];
      if (change !== undefined) this.replace(change.name, change.before);
    }
    if (this.changes.length > 0) this.changes = [];
  }

  private replace(name: string, statement: PreparedStatement | undefined): void {
    const before = this.statements.get(name);
    if (before !== undefined) this.bytes -= sizeOf(name, before);
    this.statements.delete(name);
    if (statement === undefined) return;
    this.statements.set(name, statement);
    this.bytes += sizeOf(name, statement);
  }
}

/** Estimated memory in bytes; JavaScript strings take up to two bytes per character. */
function sizeOf(name: string, statement: PreparedStatement): number {
  return 2 * (name.length + statement.text.length) + 8 * statement.parameterTypes.length;
}
