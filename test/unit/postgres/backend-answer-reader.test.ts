import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ExpectedResponses,
  MAXIMUM_HELD_BACK_BYTES,
  type ResponseEnd,
  type ResponseListener,
  ResponseReader,
} from '../../../src/postgres/backend/response-reader.js';
import { FrameReader } from '../../../src/postgres/frames.js';
import * as messages from '../../../src/postgres/messages.js';
import { dataRow, ROW_DESCRIPTION, ready } from '../../support/scripted-server.js';

interface Recorded {
  readonly relayed: string;
  readonly end: ResponseEnd | undefined;
  /** All other calls of the listener, in order. */
  readonly events: readonly string[];
}

const BATCH: ExpectedResponses = { prelude: [], batch: true, hasAppendedQuery: false };
const ERROR = messages.errorResponse({ severity: 'ERROR', code: '25P02', message: 'aborted' });
const FATAL = messages.errorResponse({ severity: 'FATAL', code: '57P01', message: 'stopping' });
const DONE = messages.commandComplete('INSERT 0 1');

function read(expected: ExpectedResponses | undefined, ...answer: readonly Buffer[]): Recorded {
  const relayed: Buffer[] = [];
  const events: string[] = [];
  let end: ResponseEnd | undefined;
  const listener: ResponseListener = {
    relay: (part) => relayed.push(part),
    handleEnd: (given) => {
      end = given;
    },
    handleFatalError: (error) => events.push(`fatal ${error.sqlState}`),
    handleViolation: () => events.push('violation'),
    handleHeldBackTooLarge: () => events.push('too large'),
    recordPrepared: (name) => events.push(`prepared ${name}`),
    recordDeallocated: (all) => events.push(all ? 'deallocated all' : 'deallocated one'),
    recordParameter: (name, value) => events.push(`${name}=${value}`),
    recordDroppedNotification: () => events.push('notification'),
  };
  const reader = new ResponseReader(listener);
  if (expected !== undefined) reader.begin(expected);
  new FrameReader(reader.visit).push(Buffer.concat(answer));
  reader.handleChunkEnd();
  return { relayed: Buffer.concat(relayed).toString('latin1'), end, events };
}

function bytes(...parts: readonly Buffer[]): string {
  return Buffer.concat(parts).toString('latin1');
}

test('the last completion is held back, earlier ones are relayed', () => {
  const { relayed, end } = read(BATCH, DONE, ROW_DESCRIPTION, dataRow('1'), DONE, ready('T'));
  assert.is(relayed, bytes(DONE, ROW_DESCRIPTION, dataRow('1')));
  assert.is(end?.heldBack.toString('latin1'), bytes(DONE));
  assert.is(end?.status, 'T');
  assert.is(end?.errorSqlState, undefined);
});

test('messages without a result that follow a completion are held back with it', () => {
  const status = messages.parameterStatus('TimeZone', 'UTC');
  const notice = messages.noticeResponse('careful', '');
  const { relayed, end } = read(BATCH, DONE, messages.CLOSE_COMPLETE, status, notice, ready());
  assert.is(relayed, '');
  assert.is(end?.heldBack.toString('latin1'), bytes(DONE, messages.CLOSE_COMPLETE, status, notice));
});

test('an error is held back, the completion before it is relayed', () => {
  const { relayed, end } = read(BATCH, DONE, ERROR, ready());
  assert.is(relayed, bytes(DONE));
  assert.is(end?.heldBack.toString('latin1'), bytes(ERROR));
  assert.is(end?.errorSqlState, '25P02');
});

test('a failed appended query gives no rows and is never relayed', () => {
  const { relayed, end } = read(
    { ...BATCH, hasAppendedQuery: true },
    ERROR,
    ready('E'),
    ERROR,
    ready('E'),
  );
  assert.is(relayed, '');
  assert.is(end?.heldBack.toString('latin1'), bytes(ERROR));
  assert.is(end?.appendedQueryRows, undefined);
  assert.is(end?.appendedQueryError?.sqlState, '25P02');
  assert.is(end?.status, 'E');
});

test('rows of the appended query are read, not relayed', () => {
  const { relayed, end } = read(
    { ...BATCH, hasAppendedQuery: true },
    DONE,
    ready(),
    ROW_DESCRIPTION,
    dataRow('0/16'),
    DONE,
    ready(),
  );
  assert.is(relayed, '');
  assert.equal(end?.appendedQueryRows, [['0/16']]);
  assert.is(end?.heldBack.toString('latin1'), bytes(DONE));
});

test('ParseComplete of the prelude is not relayed, that of the batch is', () => {
  const prelude = [{ type: messages.BackendMessageType.PARSE_COMPLETE, prepared: 's1' }];
  const answer = [messages.PARSE_COMPLETE, messages.PARSE_COMPLETE, DONE, ready()];
  const { relayed, events } = read({ ...BATCH, prelude }, ...answer);
  assert.is(relayed, bytes(messages.PARSE_COMPLETE));
  assert.equal(events, ['prepared s1']);
});

test('an error in the prelude is returned, and later prepared statements are not recorded', () => {
  const prelude = ['s1', 's2'].map((prepared) => ({
    type: messages.BackendMessageType.PARSE_COMPLETE,
    prepared,
  }));
  const { relayed, end, events } = read(
    { ...BATCH, prelude },
    messages.PARSE_COMPLETE,
    ERROR,
    ready(),
  );
  assert.is(relayed, '');
  assert.is(end?.heldBack.toString('latin1'), bytes(ERROR));
  assert.is(end?.errorSqlState, '25P02');
  assert.equal(events, ['prepared s1']);
});

test('a FATAL error is not relayed', () => {
  const { relayed, end, events } = read(BATCH, FATAL);
  assert.is(relayed, '');
  assert.is(end, undefined);
  assert.equal(events, ['fatal 57P01']);
});

test('notifications are dropped, also in the middle of rows', () => {
  const notification = Buffer.from([0x41, 0, 0, 0, 10, 0, 0, 0, 1, 0, 0]);
  const { relayed, events } = read(BATCH, dataRow('1'), notification, dataRow('2'), DONE, ready());
  assert.is(relayed, bytes(dataRow('1'), dataRow('2')));
  assert.equal(events, ['notification']);
});

test('outside a batch parameters are tracked, and results are protocol violations', () => {
  assert.equal(read(undefined, messages.parameterStatus('a', 'b')).events, ['a=b']);
  assert.equal(read(undefined, dataRow('1')).events, ['violation']);
  assert.equal(read(undefined, FATAL).events, ['fatal 57P01']);
});

test('COPY and malformed ReadyForQuery are protocol violations', () => {
  const copyIn = Buffer.from([0x47, 0, 0, 0, 7, 0, 0, 0]);
  assert.equal(read(BATCH, copyIn).events, ['violation']);
  assert.equal(read(BATCH, Buffer.from([0x5a, 0, 0, 0, 5, 0x51])).events, ['violation']);
});

test('command tags report that prepared statements were deallocated', () => {
  const tags = ['DISCARD ALL', 'DEALLOCATE ALL', 'DEALLOCATE', 'DELETE 3'];
  const { events } = read(BATCH, ...tags.map(messages.commandComplete), ready());
  assert.equal(events, ['deallocated all', 'deallocated all', 'deallocated one']);
});

test('the size of held back messages is limited', () => {
  const notice = messages.noticeResponse('x'.repeat(MAXIMUM_HELD_BACK_BYTES), '');
  assert.equal(read(BATCH, DONE, notice).events, ['too large']);
});

test.run();
