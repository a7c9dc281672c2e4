/** Transaction state of a session: none, an implicit one of a batch, or a block opened by BEGIN. */
import { ServerError, ServerSqlState } from '../errors.js';
import type { Transaction } from '../storage/transaction.js';
import type { TransactionStatus } from '../wire/backend.js';

export interface TransactionHost {
  begin(): Transaction;
  /** @throws ConnectionCrashSignal if a fault demands it. */
  commit(transaction: Transaction): void;
  rollback(transaction: Transaction): void;
}

interface Savepoint {
  readonly name: string;
  readonly undoPosition: number;
}

export class TransactionBlock {
  private transaction: Transaction | undefined;
  private explicit = false;
  private failed = false;
  private readOnly = false;
  private savepoints: Savepoint[] = [];
  private startMs = 0;

  constructor(
    private readonly host: TransactionHost,
    private readonly onEnd: (committed: boolean) => void,
  ) {}

  get status(): TransactionStatus {
    if (!this.explicit) return 'I';
    return this.failed ? 'E' : 'T';
  }

  get isExplicit(): boolean {
    return this.explicit;
  }

  get isFailed(): boolean {
    return this.failed;
  }

  get isReadOnly(): boolean {
    return this.readOnly;
  }

  get isOpen(): boolean {
    return this.transaction !== undefined;
  }

  /** Wall-clock time of the transaction's start: the value of now(). */
  get startedAtMs(): number {
    return this.startMs;
  }

  /** Returns the current transaction; begins an implicit one if there is none. */
  current(): Transaction {
    if (this.transaction === undefined) {
      this.transaction = this.host.begin();
      this.startMs = Date.now();
    }
    return this.transaction;
  }

  /** Opens a block; returns true if one was already open. */
  begin(readOnly: boolean): boolean {
    if (this.explicit) return true;
    this.current();
    this.explicit = true;
    this.readOnly = readOnly;
    return false;
  }

  setReadOnly(readOnly: boolean): void {
    this.readOnly = readOnly;
  }

  /** Ends the block; returns false if it had failed and was rolled back. */
  commit(): boolean {
    const { transaction, failed } = this;
    if (failed || transaction === undefined) {
      this.rollback();
      return !failed;
    }
    this.reset();
    this.host.commit(transaction);
    this.onEnd(true);
    return true;
  }

  commitImplicit(): void {
    if (!this.explicit && this.transaction !== undefined) this.commit();
  }

  rollback(): void {
    const { transaction } = this;
    this.reset();
    if (transaction === undefined) return;
    this.host.rollback(transaction);
    this.onEnd(false);
  }

  /** After an error: a block waits for ROLLBACK, an implicit transaction ends. */
  fail(): void {
    if (this.explicit) this.failed = true;
    else this.rollback();
  }

  savepoint(name: string): void {
    this.requireBlock('SAVEPOINT');
    this.savepoints.push({ name, undoPosition: this.current().undoPosition });
  }

  releaseSavepoint(name: string): void {
    this.savepoints = this.savepoints.slice(0, this.findSavepoint(name));
  }

  rollbackToSavepoint(name: string): void {
    this.requireBlock('ROLLBACK TO SAVEPOINT');
    const position = this.findSavepoint(name);
    this.transaction?.rollbackTo(this.savepoints[position]?.undoPosition ?? 0);
    this.savepoints = this.savepoints.slice(0, position + 1);
    this.failed = false;
  }

  private requireBlock(command: string): void {
    if (this.explicit) return;
    const message = `${command} can only be used in transaction blocks`;
    throw new ServerError(ServerSqlState.ACTIVE_SQL_TRANSACTION, message);
  }

  private findSavepoint(name: string): number {
    const position = this.savepoints.findLastIndex((savepoint) => savepoint.name === name);
    if (position >= 0) return position;
    const message = `savepoint "${name}" does not exist`;
    throw new ServerError(ServerSqlState.UNDEFINED_OBJECT, message);
  }

  private reset(): void {
    this.transaction = undefined;
    this.explicit = false;
    this.failed = false;
    this.readOnly = false;
    this.savepoints = [];
  }
}
