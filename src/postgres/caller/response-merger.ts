/**
 * Inserts ParseComplete and CloseComplete for messages that were not sent to the back end (Parse of a
 * named statement, Close of a statement) at the right places among its responses to an extended batch.
 */
import { frameLength } from '../frames.js';
import { BackendMessageType, CLOSE_COMPLETE, PARSE_COMPLETE } from '../messages.js';

/** Response to one frontend message: relayed from the back end, or the named message by the gateway. */
export type ResponseStep = 'relay' | 'parse-complete' | 'close-complete';

/** Backend messages that end the response to one frontend message. */
const RESPONSE_END_TYPES: ReadonlySet<number> = new Set([
  BackendMessageType.PARSE_COMPLETE,
  BackendMessageType.BIND_COMPLETE,
  BackendMessageType.CLOSE_COMPLETE,
  BackendMessageType.ROW_DESCRIPTION,
  BackendMessageType.NO_DATA,
  BackendMessageType.COMMAND_COMPLETE,
  BackendMessageType.EMPTY_QUERY_RESPONSE,
  BackendMessageType.PORTAL_SUSPENDED,
]);

/** Backend messages that may arrive at any time and respond to no frontend message. */
const ASYNCHRONOUS_TYPES: ReadonlySet<number> = new Set([
  BackendMessageType.NOTICE_RESPONSE,
  BackendMessageType.PARAMETER_STATUS,
]);

/** Writes messages to the caller; false if its buffer is full. */
type WriteOutput = (messages: Buffer) => boolean;

/** Merges the response to one batch. */
export class ResponseMerger {
  /** Number of acknowledgements inserted so far. */
  synthesizedCount = 0;
  private nextStep = 0;
  /** Index after the last step that isn't `relay`; from there on messages are passed through unread. */
  private readonly relayOnlyFrom: number;

  constructor(private readonly steps: readonly ResponseStep[]) {
    this.relayOnlyFrom = steps.findLastIndex((step) => step !== 'relay') + 1;
  }

  /** Relays complete backend messages, with the acknowledgements due before and between them. */
  relay(messages: Buffer, output: WriteOutput): boolean {
    let canTakeMore = true;
    let relayedUpTo = 0;
    let offset = 0;
    while (this.nextStep < this.relayOnlyFrom && offset < messages.length) {
      const type = messages[offset] ?? 0;
      if (type === BackendMessageType.ERROR_RESPONSE) {
        this.skipToSync();
        break;
      }
      if (this.steps[this.nextStep] !== 'relay' && !ASYNCHRONOUS_TYPES.has(type)) {
        if (offset > relayedUpTo) output(messages.subarray(relayedUpTo, offset));
        relayedUpTo = offset;
        this.synthesizeNext(output);
      }
      if (RESPONSE_END_TYPES.has(type)) this.nextStep += 1;
      offset += frameLength(messages, offset);
    }
    if (relayedUpTo < messages.length) canTakeMore = output(messages.subarray(relayedUpTo));
    return canTakeMore;
  }

  /** After an error PostgreSQL doesn't respond to the messages up to Sync. */
  skipToSync(): void {
    this.nextStep = this.steps.length;
  }

  /** Ends the batch: writes the acknowledgements that remain. */
  finish(output: WriteOutput): void {
    this.synthesizeNext(output);
  }

  private synthesizeNext(output: WriteOutput): void {
    for (let step = this.steps[this.nextStep]; step !== undefined && step !== 'relay'; ) {
      output(step === 'parse-complete' ? PARSE_COMPLETE : CLOSE_COMPLETE);
      this.synthesizedCount += 1;
      this.nextStep += 1;
      step = this.steps[this.nextStep];
    }
  }
}
