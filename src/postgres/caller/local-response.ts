/**
 * Builds responses to statements that the gateway handles itself and that never reach a back end, such as
 * `SET meadowstack.session`: the messages that a back end would send for the batch.
 */
import type { CallerBatch } from '../contract.js';
import { FrameReader } from '../frames.js';
import {
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  commandComplete,
  dataRow,
  emptyParameterDescription,
  FrontendMessageType,
  NO_DATA,
  PARSE_COMPLETE,
  rowDescription,
} from '../messages.js';
import { type Frame, readTarget } from './message-fields.js';

/** Result of one statement: columns of type text. */
export interface LocalResult {
  /** Command tag, such as `SET`. */
  readonly tag: string;
  /** Empty for statements that return no rows. */
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | null)[])[];
}

/**
 * Builds the messages for `CallerConnection.write`, without ReadyForQuery. `resultOf` is called with the
 * next text of `batch.statements`, or with an empty text if the batch describes a statement after the last
 * one that it executes.
 */
export function buildLocalResponse(
  batch: CallerBatch,
  resultOf: (text: string) => LocalResult,
): Buffer {
  const responses: Buffer[] = [];
  let executed = 0;
  const reader = new FrameReader((type, buffer, start, end) => {
    const text = batch.statements[executed] ?? '';
    responses.push(...respondTo({ type, buffer, start, end }, () => resultOf(text)));
    if (type === FrontendMessageType.EXECUTE) executed += 1;
  });
  reader.push(batch.messages);
  return Buffer.concat(responses);
}

function respondTo(frame: Frame, result: () => LocalResult): readonly Buffer[] {
  switch (frame.type) {
    case FrontendMessageType.QUERY:
      return [...buildDescription(result()), ...buildResult(result())];
    case FrontendMessageType.PARSE:
      return [PARSE_COMPLETE];
    case FrontendMessageType.BIND:
      return [BIND_COMPLETE];
    case FrontendMessageType.CLOSE:
      return [CLOSE_COMPLETE];
    case FrontendMessageType.DESCRIBE:
      return respondToDescribe(frame, result());
    case FrontendMessageType.EXECUTE:
      return buildResult(result());
    default:
      return [];
  }
}

function respondToDescribe(frame: Frame, result: LocalResult): readonly Buffer[] {
  const row = result.columns.length === 0 ? [NO_DATA] : buildDescription(result);
  return readTarget(frame)?.target === 'S' ? [emptyParameterDescription(), ...row] : row;
}

function buildDescription({ columns }: LocalResult): readonly Buffer[] {
  return columns.length === 0 ? [] : [rowDescription(columns)];
}

function buildResult({ rows, tag }: LocalResult): readonly Buffer[] {
  return [...rows.map(dataRow), commandComplete(tag)];
}
