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

export interface CommitRecord {
  readonly timeline: number;
  readonly previousLsn: number;
  readonly lsn: number;
  /** Wall time of the commit on its primary, in milliseconds since the epoch. */
  readonly committedAtMs: number;
  readonly changes: readonly Change[];
}

/** Line of the log of commits that checkers read by the control port. */
export interface LogEntry {
  readonly timeline: number;
  readonly lsn: string;
  readonly committedAtMs: number;
  /** `<table>/<primary key> put|delete`, or `<table> create|drop`, at most `LOG_KEYS_PER_ENTRY`. */
  readonly keys: readonly string[];
  readonly changes: number;
}

export interface TableSnapshot {
  readonly definition: TableDefinition;
  readonly rows: readonly (readonly [number, Row])[];
}
