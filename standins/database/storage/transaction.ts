/** A transaction: the rows it touched, its undo steps, and the transactions that wait for its end. */
import { MeadowstackError } from '../../../src/core/errors.js';
import { ServerError, ServerSqlState } from '../errors.js';
import type { TableDefinition } from './schema.js';
import type { StoredRow, Table } from './table.js';

export type DefinitionChange =
  | { readonly kind: 'create-table'; readonly definition: TableDefinition }
  | { readonly kind: 'drop-table'; readonly table: string };

/** Thrown by a statement that needs a row locked by another transaction; the statement is run again. */
export class RowLockedSignal extends MeadowstackError {
  readonly code = 'MS-STANDIN-ROW-LOCKED';

  constructor(readonly holder: Transaction) {
    super('row is locked by another transaction');
  }
}

export class Transaction {
  /** Rows locked or changed, with their tables. */
  readonly touchedRows = new Map<StoredRow, Table>();
  readonly definitionChanges: DefinitionChange[] = [];
  private readonly undoSteps: (() => void)[] = [];
  private waitingFor: Transaction | undefined;
  private waiters: (() => void)[] = [];

  /** Current position in the undo log, which `rollbackTo` can return to. */
  get undoPosition(): number {
    return this.undoSteps.length;
  }

  onUndo(step: () => void): void {
    this.undoSteps.push(step);
  }

  rollbackTo(undoPosition: number): void {
    while (this.undoSteps.length > undoPosition) this.undoSteps.pop()?.();
  }

  /** Resolves when `holder` ends. @throws ServerError 40P01 if the wait would be a deadlock. */
  async waitFor(holder: Transaction, signal: AbortSignal): Promise<void> {
    for (let other: Transaction | undefined = holder; other; other = other.waitingFor) {
      if (other === this) {
        throw new ServerError(ServerSqlState.DEADLOCK_DETECTED, 'deadlock detected');
      }
    }
    this.waitingFor = holder;
    try {
      await holder.ended(signal);
    } finally {
      this.waitingFor = undefined;
    }
  }

  /** Wakes all waiting transactions; called once, after commit or rollback. */
  end(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  private ended(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal.aborted) return resolve();
      const wake = (): void => {
        signal.removeEventListener('abort', wake);
        resolve();
      };
      this.waiters.push(wake);
      signal.addEventListener('abort', wake, { once: true });
    });
  }
}
