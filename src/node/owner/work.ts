/**
 * A unit of work on an owner, as an object that carries its own completion: the group runtime calls
 * back when the state machine has decided.
 */
import type { RequestError } from '../../core/errors.js';
import type { RunResult } from '../../core/group/contract.js';
import type { Position } from '../../core/position.js';
import type { BackendConnection } from '../../postgres/contract.js';

/** What the state machine assigned to the request. */
export interface Assignment {
  readonly connection: BackendConnection;
  readonly onPrimary: boolean;
  readonly appendPositionQuery: boolean;
  /** The transaction waits for its next batch, or has been given it. */
  setIdle(idle: boolean): void;
  /** Closes the connection; a running batch ends as lost. */
  closeConnection(): void;
  /** Reports the end of the run; called exactly once per assignment. */
  finished(result: RunResult): void;
}

/** One request on its way through a group. */
export interface GroupWork {
  /** Run on this connection. Called again only if nothing was relayed to the caller before. */
  start(assignment: Assignment): void;
  /** The assigned connection was lost; reported between batches, a running batch has its own report. */
  connectionClosed(): void;
  /** Closes the assigned connection unless a part of the answer has come. */
  interruptIfSilent(): void;
  /** The answer held back may go out; final. */
  release(position: Position | undefined): void;
  /** The request ended with a typed error; final. */
  fail(error: RequestError): void;
}
