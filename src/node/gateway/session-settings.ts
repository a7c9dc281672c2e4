/**
 * Answers statements that set, reset or show a session setting without a back end. An extended batch
 * is answered message by message, as PostgreSQL would.
 */
import type { CallerBatch, SessionSetting } from '../../postgres/contract.js';
import { FrameReader } from '../../postgres/frames.js';
import {
  commandComplete,
  emptyMessage,
  settingRow,
  settingRowDescription,
} from './setting-messages.js';

const BIND = 'B'.charCodeAt(0);
const CLOSE = 'C'.charCodeAt(0);
const DESCRIBE = 'D'.charCodeAt(0);
const EXECUTE = 'E'.charCodeAt(0);
const PARSE = 'P'.charCodeAt(0);

const PARSE_COMPLETE = emptyMessage('1');
const BIND_COMPLETE = emptyMessage('2');
const CLOSE_COMPLETE = emptyMessage('3');
const NO_DATA = emptyMessage('n');

/** Raw backend messages, without ReadyForQuery, that answer the batch. */
export function answerSessionSetting(
  batch: CallerBatch,
  setting: SessionSetting,
  shownValue: string,
): Buffer {
  const result = resultOf(setting, shownValue);
  if (batch.protocol === 'simple') return Buffer.concat([result.description, result.completion]);
  return Buffer.concat(answerExtended(batch.messages, setting, result));
}

interface SettingResult {
  /** RowDescription, or empty. */
  readonly description: Buffer;
  /** DataRow if any, and CommandComplete. */
  readonly completion: Buffer;
}

function resultOf(setting: SessionSetting, shownValue: string): SettingResult {
  if (setting.action !== 'show') {
    return {
      description: Buffer.alloc(0),
      completion: commandComplete(setting.action.toUpperCase()),
    };
  }
  return {
    description: settingRowDescription(setting.name),
    completion: Buffer.concat([settingRow(shownValue), commandComplete('SHOW')]),
  };
}

function answerExtended(
  messages: Buffer,
  setting: SessionSetting,
  result: SettingResult,
): Buffer[] {
  const answers: Buffer[] = [];
  const reader = new FrameReader((type) => {
    if (type === PARSE) answers.push(PARSE_COMPLETE);
    if (type === BIND) answers.push(BIND_COMPLETE);
    if (type === CLOSE) answers.push(CLOSE_COMPLETE);
    if (type === DESCRIBE) answers.push(setting.action === 'show' ? result.description : NO_DATA);
    if (type === EXECUTE) answers.push(result.completion);
  });
  reader.push(messages);
  return answers;
}
