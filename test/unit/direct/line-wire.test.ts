/** The platform's line protocol, as callers and instances write it. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire, parseStatusRow } from '../../../platform/line-wire.js';
import { LineSplitter } from '../../../src/direct/line-splitter.js';

test('statements of callers are classified and keep their text', () => {
  const read = lineWire.decodeCallerMessage('QUERY 5c0e READ 1a4');
  assert.equal(read, {
    type: 'statement',
    id: '5c0e',
    statement: { type: 'run', access: 'read' },
    text: 'READ 1a4',
  });
  const prepare = lineWire.decodeCallerMessage('QUERY 1 PREPARE s1 WRITE q2c');
  assert.equal(prepare.type === 'statement' && prepare.statement, {
    type: 'prepare',
    name: 's1',
    access: 'write',
    shape: 'q2c',
  });
});

test('commands that only the system may send to an instance are refused from a caller', () => {
  for (const text of ['STATUS', 'RESET', 'PAUSE 4', 'DEMOTE 4', 'RESUME', 'AFTER 3.1 READ a', '']) {
    const message = lineWire.decodeCallerMessage(`QUERY 1 ${text}`);
    assert.is(message.type === 'statement' && message.statement.type, 'invalid', text);
  }
  assert.is(lineWire.decodeCallerMessage('QUERY - READ a').type, 'malformed');
});

test('a second message hidden behind a lone line feed or carriage return is refused', () => {
  for (const hidden of ['READ a\nQUERY 2 WRITE b c', 'WRITE a \rQUERY 2 READ b']) {
    const message = lineWire.decodeCallerMessage(`QUERY 1 ${hidden}`);
    assert.is(message.type === 'statement' && message.statement.type, 'invalid');
  }
});

test('a lone line feed does not end a message; CR LF does, wherever the bytes are cut', () => {
  const splitter = new LineSplitter(100);
  assert.equal(splitter.push(Buffer.from('QUERY 1 a\nb')), []);
  assert.equal(splitter.push(Buffer.from('\r')), []);
  assert.equal(splitter.push(Buffer.from('\nQUERY 2 c\r\nQU')), ['QUERY 1 a\nb', 'QUERY 2 c']);
  assert.equal(splitter.push(Buffer.from('ERY 3\r\n')), ['QUERY 3']);
});

test('a message that is too long is reported as soon as it exceeds the limit, before its end', () => {
  const splitter = new LineSplitter(10);
  assert.equal(splitter.push(Buffer.from('12345678901')), [undefined]);
});

test('responses of instances contain the state and the position', () => {
  assert.equal(lineWire.decodeInstanceMessage('READY T 3.1209'), {
    type: 'ready',
    state: 'open',
    position: { timeline: 3, lsn: 1209n },
  });
  assert.equal(lineWire.decodeInstanceMessage('READY I -'), {
    type: 'ready',
    state: 'idle',
    position: undefined,
  });
  assert.equal(lineWire.decodeInstanceMessage('ERROR LAGGING i-1 is behind'), {
    type: 'error',
    code: 'lagging',
    text: 'i-1 is behind',
  });
});

test('a condition is placed before the unchanged statement text', () => {
  const after = { timeline: 3, lsn: 7n };
  assert.is(lineWire.encodeStatement('9', 'READ 1a4', after), 'QUERY 9 AFTER 3.7 READ 1a4\r\n');
  assert.is(lineWire.encodeBegin(true, after), 'QUERY - AFTER 3.7 BEGIN READ\r\n');
});

test('a status row is parsed, and a malformed one is rejected', () => {
  assert.equal(parseStatusRow('replica 3 3.1209 0 12 2 17'), {
    role: 'replica',
    term: 3,
    received: { timeline: 3, lsn: 1209n },
    heldTerm: 0,
    lagMs: 12,
    busySlots: 2,
    connections: 17,
  });
  assert.is(parseStatusRow('leader 3 3.1209 0 12 2 17'), undefined);
  assert.is(parseStatusRow('replica 3'), undefined);
});

test.run();
