/**
 * Interface between the group runtime and a request: the runtime calls the request's methods when
 * the state machine has decided about it.
 */
import type { RequestError } from '../../core/errors.js';
import type { RunResult } from '../../core/group/contract.js';
import type { Position } from '../../core/position.js';
import type { BackendConnection } from '../../postgres/contract.js';

/** The connection that the state machine assigned to a request. */
export interface Assignment {
  readonly connection: BackendConnection;
  readonly onPrimary: boolean;
  readonly appendPositionQuery: boolean;
  /** Reports whether the transaction is idle: true while it waits for its next batch. */
  setIdle(idle: boolean): void;
  /** Closes the connection; a running batch ends as lost. */
  closeConnection(): void;
  /** Reports the end of the run; called exactly once per assignment. */
  finished(result: RunResult): void;
}

/** One request that a group's owner serves. */
export interface GroupWork {
  /** Runs the request on a connection. Called again only if nothing was relayed to the caller. */
  start(assignment: Assignment): void;
  /** The assigned connection was lost. Ignored during a batch, which reports the loss itself. */
  connectionClosed(): void;
  /** Closes the assigned connection unless part of the response has arrived. */
  interruptIfSilent(): void;
  /** The held-back end of the response may be sent; final. */
  release(position: Position | undefined): void;
  /** The request failed with an error; final. */
  fail(error: RequestError): void;
}
