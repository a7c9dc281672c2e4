/**
 * Answers of the gateway itself, for statements that never reach a back end, such as
 * `SET meadowstack.session`. Gives the messages that a back end would send for the batch.
 */
import type { CallerBatch } from '../contract.js';
import { FrameReader } from '../frames.js';
import {
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  commandComplete,
  dataRow,
  FrontendMessageType,
  NO_DATA,
  noParameters,
  PARSE_COMPLETE,
  rowDescription,
} from '../messages.js';
import { type Frame, readTarget } from './message-fields.js';

/** Result of one statement: columns of type text. */
export interface LocalResult {
  /** Command tag, such as `SET`. */
  readonly tag: string;
  /** Empty for statements that give no rows. */
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | null)[])[];
}

/**
 * Messages for `CallerConnection.write`, without ReadyForQuery. `resultOf` is asked with each text
 * of `batch.statements` as it is executed, and with an empty text if one is described only.
 */
export function localAnswer(batch: CallerBatch, resultOf: (text: string) => LocalResult): Buffer {
  const answers: Buffer[] = [];
  let executed = 0;
  const reader = new FrameReader((type, buffer, start, end) => {
    const text = batch.statements[executed] ?? '';
    answers.push(...answerOf({ type, buffer, start, end }, () => resultOf(text)));
    if (type === FrontendMessageType.EXECUTE) executed += 1;
  });
  reader.push(batch.messages);
  return Buffer.concat(answers);
}

function answerOf(frame: Frame, result: () => LocalResult): readonly Buffer[] {
  switch (frame.type) {
    case FrontendMessageType.QUERY:
      return [...descriptionOf(result()), ...executionOf(result())];
    case FrontendMessageType.PARSE:
      return [PARSE_COMPLETE];
    case FrontendMessageType.BIND:
      return [BIND_COMPLETE];
    case FrontendMessageType.CLOSE:
      return [CLOSE_COMPLETE];
    case FrontendMessageType.DESCRIBE:
      return describe(frame, result());
    case FrontendMessageType.EXECUTE:
      return executionOf(result());
    default:
      return [];
  }
}

function describe(frame: Frame, result: LocalResult): readonly Buffer[] {
  const row = result.columns.length === 0 ? [NO_DATA] : descriptionOf(result);
  return readTarget(frame)?.target === 'S' ? [noParameters(), ...row] : row;
}

function descriptionOf({ columns }: LocalResult): readonly Buffer[] {
  return columns.length === 0 ? [] : [rowDescription(columns)];
}

function executionOf({ rows, tag }: LocalResult): readonly Buffer[] {
  return [...rows.map(dataRow), commandComplete(tag)];
}
