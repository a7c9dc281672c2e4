/** What one committed transaction changed, as it is replicated. Positions are byte offsets. */
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

/** Line of the log of commits that checkers read by the control port. */
export interface LogEntry {
  readonly timeline: number;
  readonly lsn: string;
  /** The same position as a number of bytes. */
  readonly offset: number;
  readonly committedAtMs: number;
  /** `<table>/<primary key> put|delete`, or `<table> create|drop`, the first 20. */
  readonly keys: readonly string[];
  readonly changes: number;
}

export interface TableSnapshot {
  readonly definition: TableDefinition;
  readonly rows: readonly (readonly [number, Row])[];
}
