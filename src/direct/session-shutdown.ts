/**
 * One session's part in the planned stop of its node: the word to leave, the refusal of what crosses it, and the last
 * word to callers that are still owed answers.
 */
import type { TransactionState } from '../core/statements/statement.js';
import { RETRY_AFTER_MS, type Refusal } from './statement-request.js';
import type { StatementWire } from './wire.js';

/** Another node takes the caller at once. */
const STOP_NOTICE_TEXT = `this node is stopping; retry after ${RETRY_AFTER_MS} ms`;

/** What a caller is told when the grace period of the node is over: what was sent may have run. */
export const CUT_AT_STOP: Refusal = {
  code: 'timeout',
  text: 'this node ends; whether it ran is unknown',
};

export class SessionShutdown {
  /**
   * Once the caller was told to leave nothing is run any more: what it sent ahead belongs to an attempt of which it was
   * told that nothing is kept. `told` until a request takes that word for its refusal.
   */
  #state: 'no' | 'told' | 'refused' = 'no';
  #refusesStart = false;

  constructor(
    private readonly wire: StatementWire,
    private readonly write: (text: string) => void,
  ) {}

  /** The caller has been told. */
  get isNotified(): boolean {
    return this.#state !== 'no';
  }

  /** The word stands, and no request has taken it for its refusal yet. */
  get isNoticeUnused(): boolean {
    return this.#state === 'told';
  }

  /** The caller came when the node was stopping already: it is refused when it asks for a session. */
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

  /** A statement that crossed the word takes that word for its refusal; those behind it get their own. */
  refuseAfterNotice(state: TransactionState): void {
    if (!this.isNoticeUnused) this.writeRefusal(state);
    this.#state = 'refused';
  }

  /** What a caller is told while the node stops: nothing of its attempt is kept. */
  refusal(state: TransactionState): Refusal {
    return { code: state === 'idle' ? 'busy' : 'aborted', text: STOP_NOTICE_TEXT };
  }

  writeRefusal(state: TransactionState): void {
    const { code, text } = this.refusal(state);
    this.write(this.wire.encodeError(code, text));
  }

  /** The last word to a statement that has no answer. */
  writeCutOff(state: TransactionState): void {
    const { code, text } = CUT_AT_STOP;
    const stateAfter = state === 'open' ? 'failed' : state;
    this.write(this.wire.encodeError(code, text) + this.wire.encodeReady(stateAfter, undefined));
  }
}
