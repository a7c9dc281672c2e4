/** What happened in a simulated run, as seen from outside the machine, for the history checks. */
import type { RequestError } from '../../src/core/errors.js';
import type { Position } from '../../src/core/position.js';
import type { GroupRequest } from '../../src/core/request.js';
import type { LogEntry } from './group.js';

/** One execution of a request on an instance. */
export interface Execution {
  /** Which sending of the request this was, from 1. */
  readonly attempt: number;
  readonly instance: string;
  readonly at: number;
  /** Another instance had been promoted by then. */
  readonly onDeposed: boolean;
  /** What it wrote, if it wrote. */
  readonly written: LogEntry | undefined;
  /** What it read from. */
  readonly snapshot: readonly LogEntry[];
}

/** How a request ended for its caller. */
export interface FinalRecord {
  readonly at: number;
  readonly error: RequestError | undefined;
  readonly position: Position | undefined;
  readonly fromReplica: boolean;
}

/** One request with everything that became of it. */
export interface RequestRecord {
  readonly request: GroupRequest;
  readonly session: number;
  readonly arrivedAt: number;
  /** When the machine sent it, each time. */
  readonly sentAt: number[];
  readonly executions: Execution[];
  readonly finals: FinalRecord[];
  /** When the transaction ended on its connection, if it is one. */
  endedAt: number | undefined;
  servedByReplica: boolean;
  /** SQLSTATE of the database's own error, if that is the answer. */
  databaseError: string | undefined;
  /** Reported in place of the answer once the run is released: a key that was used earlier. */
  refusal: RequestError | undefined;
  /** Its owner was killed or frozen meanwhile: no end, or a late one, is no fault. */
  excused: boolean;
}

/** Everything that the checks look at. */
export interface SimulatedHistory {
  readonly records: RequestRecord[];
  /** Breaches of limits that were seen as they happened. */
  readonly breaches: string[];
  /** The log that lasted. */
  finalLog: readonly LogEntry[];
}
