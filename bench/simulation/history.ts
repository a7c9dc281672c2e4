/** Record of a simulated run, observed from outside the state machine, for the history checks. */
import type { RequestError } from '../../src/core/errors.js';
import type { Position } from '../../src/core/position.js';
import type { GroupRequest } from '../../src/core/request.js';
import type { LogEntry } from './group.js';

/** One execution of a request on an instance. */
export interface Execution {
  /** Number of the attempt to send the request, from 1. */
  readonly attempt: number;
  readonly instance: string;
  readonly at: number;
  /** Another instance had been promoted before this execution. */
  readonly onReplacedPrimary: boolean;
  /** The log entry it wrote; undefined for a read. */
  readonly written: LogEntry | undefined;
  /** The log entries visible to it. */
  readonly snapshot: readonly LogEntry[];
}

/** Result of a request as its caller received it. */
export interface CompletionRecord {
  readonly at: number;
  readonly error: RequestError | undefined;
  readonly position: Position | undefined;
  readonly fromReplica: boolean;
}

/** One request with all its attempts, executions and results. */
export interface RequestRecord {
  readonly request: GroupRequest;
  readonly session: number;
  readonly arrivedAt: number;
  /** Time of each attempt to send it. */
  readonly sentAt: number[];
  readonly executions: Execution[];
  readonly completions: CompletionRecord[];
  /** Time at which its latest run ended on its connection. */
  endedAt: number | undefined;
  servedByReplica: boolean;
  /** SQLSTATE, if the answer is an error of the database itself. */
  databaseError: string | undefined;
  /** Reported instead of the answer when the run is released, such as for a key used earlier. */
  refusal: RequestError | undefined;
  /** Its owner was killed or frozen before its end, so a missing or late result is allowed. */
  ownerFailed: boolean;
}

/** Input of the checks. */
export interface SimulatedHistory {
  readonly records: RequestRecord[];
  /** Violations of limits, recorded as they occurred. */
  readonly breaches: string[];
  /** Log of the latest primary at the end of the run. */
  finalLog: readonly LogEntry[];
}
