/**
 * One session's part in the planned stop of its node: the stop notice to the caller, the refusal of
 * requests that arrive after it, and the last response to requests that are still unanswered.
 */
import type { TransactionState } from '../core/statements/statement.js';
import { RETRY_AFTER_MS, type Refusal } from './statement-request.js';
import type { StatementWire } from './wire.js';

/** Text of the stop notice. The retry delay is short, since another node can serve the caller immediately. */
const STOP_NOTICE_TEXT = `this node is stopping; retry after ${RETRY_AFTER_MS} ms`;

/** The response to an unanswered request when the node's grace period ends: the statement may have run. */
export const CUT_AT_STOP: Refusal = {
  code: 'timeout',
  text: 'this node ends; whether it ran is unknown',
};

export class SessionShutdown {
  /**
   * Nothing runs after the stop notice: statements that the caller had already sent belong to an attempt
   * that the notice declared void. The notice is an error message, so the caller takes it as the response
   * to the first such statement: `told` until one arrives, then `refused`.
   */
  #state: 'no' | 'told' | 'refused' = 'no';
  #refusesStart = false;

  constructor(
    private readonly wire: StatementWire,
    private readonly write: (text: string) => void,
  ) {}

  /** True once the stop notice was sent. */
  get isNotified(): boolean {
    return this.#state !== 'no';
  }

  /** True if the notice was sent and no request has been refused by it yet. */
  get isNoticeUnused(): boolean {
    return this.#state === 'told';
  }

  /** The caller connected after the stop began: its request for a session is refused. */
  get refusesStart(): boolean {
    return this.#refusesStart;
  }

  refuseStart(): void {
    this.#refusesStart = true;
  }

  sendNotice(state: TransactionState): void {
    this.#state = 'told';
    this.writeRefusal(state);
  }

  /** Refuses a statement that arrived after the notice. The notice is the error of the first; others get their own. */
  refuseAfterNotice(state: TransactionState): void {
    if (!this.isNoticeUnused) this.writeRefusal(state);
    this.#state = 'refused';
  }

  /** The error while the node stops; nothing of the caller's attempt is kept. */
  refusal(state: TransactionState): Refusal {
    return { code: state === 'idle' ? 'busy' : 'aborted', text: STOP_NOTICE_TEXT };
  }

  writeRefusal(state: TransactionState): void {
    const { code, text } = this.refusal(state);
    this.write(this.wire.encodeError(code, text));
  }

  /** Writes the response to a statement that is cut off by the end of the process. */
  writeCutOff(state: TransactionState): void {
    const { code, text } = CUT_AT_STOP;
    const stateAfter = state === 'open' ? 'failed' : state;
    this.write(this.wire.encodeError(code, text) + this.wire.encodeReady(stateAfter, undefined));
  }
}
