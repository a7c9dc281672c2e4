/** A transaction: what it touched, how to undo it, and who waits for its end. */
import { MeadowstackError } from '../../../src/core/errors.js';
import { ServerError, ServerSqlState } from '../errors.js';
import type { TableDefinition } from './schema.js';
import type { StoredRow, Table } from './table.js';

export type DefinitionChange =
  | { readonly kind: 'create-table'; readonly definition: TableDefinition }
  | { readonly kind: 'drop-table'; readonly table: string };

/** Thrown inside a statement that needs a row of another open transaction; it is run again. */
export class RowLockedSignal extends MeadowstackError {
  readonly code = 'MS-STANDIN-ROW-LOCKED';

  constructor(readonly holder: Transaction) {
    super('row is locked by another transaction');
  }
}

export class Transaction {
  /** Rows locked or changed, with their tables. */
  readonly touched = new Map<StoredRow, Table>();
  readonly definitionChanges: DefinitionChange[] = [];
  private readonly undoSteps: (() => void)[] = [];
  private waitingFor: Transaction | undefined;
  private waiters: (() => void)[] = [];

  /** A point to roll back to: a statement's start or a savepoint. */
  get mark(): number {
    return this.undoSteps.length;
  }

  onUndo(step: () => void): void {
    this.undoSteps.push(step);
  }

  rollbackTo(mark: number): void {
    while (this.undoSteps.length > mark) this.undoSteps.pop()?.();
  }

  /** Resolves when `holder` ends. Throws 40P01 if that would close a circle of waiting. */
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

  /** Wakes all who wait; called once, after commit or rollback. */
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
