/** Replicated form of the changes of committed transactions. Positions are byte offsets. */
import type { Row } from '../sql/types.js';
import type { TableDefinition } from './schema.js';
import type { DefinitionChange } from './transaction.js';

export type Change =
  | DefinitionChange
  | {
      readonly kind: 'row';
      readonly table: string;
      readonly rowId: number;
      /** Null: the row was deleted. */
      readonly values: Row | null;
    };

/** Entry of the commit log that checkers read through the control port. */
export interface LogEntry {
  readonly timeline: number;
  readonly lsn: string;
  /** The same position as a number of bytes. */
  readonly offset: number;
  readonly committedAtMs: number;
  /** The first 20 changes: `<table>/<primary key> put|delete`, or `<table> create|drop`. */
  readonly keys: readonly string[];
  readonly changes: number;
}

export interface TableSnapshot {
  readonly definition: TableDefinition;
  readonly rows: readonly (readonly [number, Row])[];
}
