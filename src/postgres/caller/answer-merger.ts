/**
 * Puts the acknowledgements of messages that the back end never saw (Parse of a named statement,
 * Close of a statement) at their places between the back end's answers of an extended batch.
 */
import { frameLength } from '../frames.js';
import { BackendMessageType, CLOSE_COMPLETE, PARSE_COMPLETE } from '../messages.js';

/** Who answers a frontend message: the back end, or the gateway with the message named. */
export type AnswerStep = 'relay' | 'parse-complete' | 'close-complete';

/** Backend messages that end the answer to one frontend message. */
const ANSWER_ENDS: ReadonlySet<number> = new Set([
  BackendMessageType.PARSE_COMPLETE,
  BackendMessageType.BIND_COMPLETE,
  BackendMessageType.CLOSE_COMPLETE,
  BackendMessageType.ROW_DESCRIPTION,
  BackendMessageType.NO_DATA,
  BackendMessageType.COMMAND_COMPLETE,
  BackendMessageType.EMPTY_QUERY_RESPONSE,
  BackendMessageType.PORTAL_SUSPENDED,
]);

/** Backend messages that may come at any time and answer nothing. */
const ASYNCHRONOUS: ReadonlySet<number> = new Set([
  BackendMessageType.NOTICE_RESPONSE,
  BackendMessageType.PARAMETER_STATUS,
]);

/** Takes messages for the caller; false: its buffer is full. */
type Output = (messages: Buffer) => boolean;

/** Merges one batch's answer. */
export class AnswerMerger {
  /** Acknowledgements made so far. */
  synthesized = 0;
  private next = 0;
  /** Index after the last step that is not relayed; from there on bytes pass unread. */
  private readonly lastSynthesized: number;

  constructor(private readonly steps: readonly AnswerStep[]) {
    this.lastSynthesized = steps.findLastIndex((step) => step !== 'relay') + 1;
  }

  /** Relays whole backend messages with what belongs before and between them. */
  relay(messages: Buffer, output: Output): boolean {
    let taken = true;
    let relayedUpTo = 0;
    let offset = 0;
    while (this.next < this.lastSynthesized && offset < messages.length) {
      const type = messages[offset] ?? 0;
      if (type === BackendMessageType.ERROR_RESPONSE) {
        this.fail();
        break;
      }
      if (this.steps[this.next] !== 'relay' && !ASYNCHRONOUS.has(type)) {
        if (offset > relayedUpTo) output(messages.subarray(relayedUpTo, offset));
        relayedUpTo = offset;
        this.synthesizeNext(output);
      }
      if (ANSWER_ENDS.has(type)) this.next += 1;
      offset += frameLength(messages, offset);
    }
    if (relayedUpTo < messages.length) taken = output(messages.subarray(relayedUpTo));
    return taken;
  }

  /** After an error PostgreSQL answers nothing more up to Sync. */
  fail(): void {
    this.next = this.steps.length;
  }

  /** The batch ended: what is still to acknowledge comes now. */
  end(output: Output): void {
    this.synthesizeNext(output);
  }

  private synthesizeNext(output: Output): void {
    for (let step = this.steps[this.next]; step !== undefined && step !== 'relay'; ) {
      output(step === 'parse-complete' ? PARSE_COMPLETE : CLOSE_COMPLETE);
      this.synthesized += 1;
      this.next += 1;
      step = this.steps[this.next];
    }
  }
}
