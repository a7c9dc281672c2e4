/**
 * A request with an idempotency key on a simulated connection: the core's state machine on the
 * owner's side, claims that wait for each other on the instance's side, and messages that can be
 * lost or late between any two steps.
 */
import {
  continueOnce,
  needsConfirmation,
  type OnceAnswer,
  type OnceClaim,
  type OnceResult,
  type OnceTransition,
  startOnce,
} from '../../src/core/at-most-once/index.js';
import { type RequestError, TransactionAbortedError } from '../../src/core/errors.js';
import type { RunResult } from '../../src/core/group/contract.js';
import type { Position } from '../../src/core/position.js';
import type { SimulatedClock } from './clock.js';
import { type LogEntry, positionOf, type SimulatedGroup, type SimulatedInstance } from './group.js';

const UNIQUE_VIOLATION = '23505';
export const READ_ONLY_SQL_STATE = '25006';
const CLAIM_POLL_PERIOD_MS = 1;
/** Probability for each step that the connection breaks before it is sent; same again after it ran. */
const LOSS_PROBABILITY = 0.01;
/** Higher for the answer to COMMIT, since callers must then query the outcome with a retry. */
const COMMIT_LOSS_PROBABILITY = 0.15;

export interface OnceRunOptions {
  readonly requestId: string;
  readonly claim: OnceClaim;
  /** True while the server keeps the connection open. */
  readonly isOpen: () => boolean;
  readonly runInProcess: (action: () => void) => void;
  readonly deliver: (direction: 'both-ways' | 'answers', action: () => void) => void;
  readonly onCommit: (written: LogEntry) => void;
  /** `databaseError`: SQLSTATE, if the answer is an error of the database itself. */
  readonly onFinished: (
    result: RunResult,
    refusal: RequestError | undefined,
    databaseError: string | undefined,
  ) => void;
}

interface ServerResponse {
  readonly status: 'I' | 'T' | 'E';
  readonly errorSqlState: string | undefined;
}

/** One execution of the request on one connection. */
export class SimulatedOnceRun {
  #transition: OnceTransition;
  #finished = false;
  #isSessionEnded = false;
  #position: Position | undefined;

  constructor(
    private readonly clock: SimulatedClock,
    private readonly group: SimulatedGroup,
    private readonly instance: SimulatedInstance,
    private readonly options: OnceRunOptions,
  ) {
    this.#transition = startOnce(options.claim, 'autocommit');
  }

  start(): void {
    this.#step();
  }

  /** The owner lost its connection. */
  handleConnectionLost(bytesWritten: boolean): void {
    this.options.runInProcess(() =>
      this.#handleAnswer({ type: 'lost', anyBytesWritten: bytesWritten }),
    );
  }

  /** The server rolls back the open transaction. */
  handleSessionEnded(): void {
    this.#isSessionEnded = true;
    this.#releaseClaim();
  }

  #step(): void {
    const { action } = this.#transition;
    if (action.type === 'finish') {
      this.#finish(action.result);
      return;
    }
    if (this.clock.chance(LOSS_PROBABILITY)) {
      this.clock.after(0.2, () => {
        this.handleSessionEnded();
        this.handleConnectionLost(false);
      });
      return;
    }
    this.options.deliver('both-ways', () => this.#startExecution());
  }

  #startExecution(): void {
    if (this.#isSessionEnded) return;
    if (!this.options.isOpen()) {
      this.handleConnectionLost(true);
      return;
    }
    const wait = Math.max(0, this.instance.pausedUntil - this.clock.now);
    this.clock.after(wait + this.clock.between(0.5, 3), () => this.#execute());
  }

  #execute(): void {
    if (this.#isSessionEnded) return;
    if (!this.options.isOpen()) {
      this.handleConnectionLost(true);
      return;
    }
    if (this.#mustWaitForClaim()) {
      this.clock.after(CLAIM_POLL_PERIOD_MS, () => this.#execute());
      return;
    }
    this.#sendAnswer(this.#executePhase());
  }

  #mustWaitForClaim(): boolean {
    if (this.#transition.execution.phase !== 'claim') return false;
    const holder = this.instance.claims.get(this.#key);
    return holder !== undefined && holder !== this;
  }

  #executePhase(): ServerResponse {
    const { writable } = this.instance;
    switch (this.#transition.execution.phase) {
      case 'claim':
        if (!writable) return { status: 'E', errorSqlState: READ_ONLY_SQL_STATE };
        if (this.#isKeyUsed()) return { status: 'E', errorSqlState: UNIQUE_VIOLATION };
        this.instance.claims.set(this.#key, this);
        return { status: 'T', errorSqlState: undefined };
      case 'commit':
        return this.#commit();
      case 'roll-back':
        this.#releaseClaim();
        this.#recordPosition();
        return { status: 'I', errorSqlState: undefined };
      default:
        return writable
          ? { status: 'T', errorSqlState: undefined }
          : { status: 'E', errorSqlState: READ_ONLY_SQL_STATE };
    }
  }

  #commit(): ServerResponse {
    const holdsClaim = this.instance.claims.get(this.#key) === this;
    this.#releaseClaim();
    if (!this.instance.writable || !holdsClaim)
      return { status: 'I', errorSqlState: READ_ONLY_SQL_STATE };
    const { requestId } = this.options;
    this.options.onCommit(this.group.commit(this.instance, requestId, this.#key));
    this.#recordPosition();
    return { status: 'I', errorSqlState: undefined };
  }

  #isKeyUsed(): boolean {
    return this.instance.log.some(({ onceKey }) => onceKey === this.#key);
  }

  #releaseClaim(): void {
    if (this.instance.claims.get(this.#key) === this) this.instance.claims.delete(this.#key);
  }

  #recordPosition(): void {
    this.#position = positionOf(this.instance.timeline, this.instance.log.length);
  }

  get #key(): string {
    const { tenant, onceKey } = this.options.claim;
    return `${tenant}/${onceKey}`;
  }

  #sendAnswer(answer: ServerResponse): void {
    const commits = this.#transition.execution.phase === 'commit';
    if (this.clock.chance(commits ? COMMIT_LOSS_PROBABILITY : LOSS_PROBABILITY)) {
      this.handleSessionEnded();
      this.handleConnectionLost(true);
      return;
    }
    this.options.deliver('answers', () => {
      if (this.options.isOpen()) this.#handleAnswerLater({ type: 'ready', ...answer });
      else this.handleConnectionLost(true);
    });
  }

  #handleAnswerLater(answer: OnceAnswer): void {
    this.options.runInProcess(() => this.#handleAnswer(answer));
  }

  #handleAnswer(answer: OnceAnswer): void {
    if (this.#finished) return;
    this.#transition = continueOnce(this.#transition.execution, answer);
    if (answer.type === 'lost') this.#finishLost(answer.anyBytesWritten);
    else this.#step();
  }

  /** Finishes as the owner reports it: only a COMMIT that was sent may have taken effect. */
  #finishLost(bytesWritten: boolean): void {
    this.#finished = true;
    const mayHaveCommitted = bytesWritten && this.#transition.execution.phase === 'commit';
    // The transaction's connection counts as used, whichever message was lost.
    const result = { anyBytesWritten: true, anyBytesRelayed: false, mayHaveCommitted };
    this.options.onFinished({ type: 'connection-lost', ...result }, undefined, undefined);
  }

  #finish(result: OnceResult): void {
    this.#finished = true;
    const refusal = toRequestError(result);
    const position = this.#position;
    const type = needsConfirmation(result) ? 'completed' : 'database-error';
    const databaseError = result.type === 'database-error' ? READ_ONLY_SQL_STATE : undefined;
    this.options.onFinished({ type, position }, refusal, databaseError);
  }
}

/** An error of the database, at the statement or at COMMIT, is reported like an error of the proxy. */
function toRequestError(result: OnceResult): RequestError | undefined {
  if (result.type === 'refused') return result.error;
  if (result.type === 'done') return undefined;
  return new TransactionAbortedError('the database refused the statement or its COMMIT');
}
