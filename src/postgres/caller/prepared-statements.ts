/**
 * Prepared statements and portals of one caller. Named statements live here, not on back-end
 * connections: there they stand under a name made of their content, so that connections of the
 * pool can share and re-create them. The unnamed statement stays unnamed within the batch that
 * parses it (an error then shows exactly where PostgreSQL shows it, and one-off texts don't pile up
 * on back-end connections); a later batch that binds it gets it by its content name.
 */
import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { PreparedStatement } from '../contract.js';
import { DuplicatePreparedStatementError, PreparedStatementLimitError } from './errors.js';

const BACKEND_NAME_PREFIX = 'ms_';
/** 128 bits: collisions can't be made on purpose, so that no text can stand in for another. */
const BACKEND_NAME_DIGITS = 32;

/** A statement under its content-derived name. */
export function preparedStatementOf(
  text: string,
  parameterTypes: readonly number[],
): PreparedStatement {
  const digest = createHash('sha256').update(parameterTypes.join()).update('\0').update(text);
  const backendName = BACKEND_NAME_PREFIX + digest.digest('hex').slice(0, BACKEND_NAME_DIGITS);
  return { backendName, text, parameterTypes };
}

function sameStatement(left: PreparedStatement, right: PreparedStatement): boolean {
  return left.backendName === right.backendName;
}

export interface PreparedStatementLimits {
  readonly preparedStatements: number;
  readonly preparedStatementBytes: number;
}

/** A change that counts only once its acknowledgement went to the caller. */
interface Change {
  readonly name: string;
  readonly before: PreparedStatement | undefined;
}

/** Named statements of a connection, with the changes of the running batch still revocable. */
export class PreparedStatementStore {
  private readonly statements = new Map<string, PreparedStatement>();
  private bytes = 0;
  private changes: Change[] = [];

  constructor(private readonly limits: PreparedStatementLimits) {}

  get(name: string): PreparedStatement | undefined {
    return this.statements.get(name);
  }

  /** Records a Parse. The same content under the same name again is taken. */
  add(
    name: string,
    statement: PreparedStatement,
  ): Result<void, DuplicatePreparedStatementError | PreparedStatementLimitError> {
    const before = this.statements.get(name);
    if (before !== undefined && !sameStatement(before, statement)) {
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
    this.put(name, statement);
    return ok(undefined);
  }

  /** Records a Close. */
  remove(name: string): void {
    this.changes.push({ name, before: this.statements.get(name) });
    this.put(name, undefined);
  }

  /** Ends the batch: its first `acknowledged` changes stay, the others are undone. */
  settle(acknowledged: number): void {
    for (let index = this.changes.length - 1; index >= acknowledged; index -= 1) {
      const change = this.changes[index];
      if (change !== undefined) this.put(change.name, change.before);
    }
    if (this.changes.length > 0) this.changes = [];
  }

  private put(name: string, statement: PreparedStatement | undefined): void {
    const before = this.statements.get(name);
    if (before !== undefined) this.bytes -= sizeOf(name, before);
    this.statements.delete(name);
    if (statement === undefined) return;
    this.statements.set(name, statement);
    this.bytes += sizeOf(name, statement);
  }
}

/** Characters count twice: strings take up to two bytes each. */
function sizeOf(name: string, statement: PreparedStatement): number {
  return 2 * (name.length + statement.text.length) + 8 * statement.parameterTypes.length;
}
