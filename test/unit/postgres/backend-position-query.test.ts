import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseInstanceState } from '../../../src/postgres/backend/position-query.js';

const WAL_FILE = '0000000B0000000000000001';

test('a primary reports the timeline being written, not the one of the control file', () => {
  const state = parseInstanceState([['f', '10', WAL_FILE, null, '1/2', '1/2']])._unsafeUnwrap();
  const position = { timeline: 11, lsn: 0x1_0000_0002n };
  assert.equal(state, { writable: true, replayedPosition: position, receivedPosition: position });
});

test('at a replica the later timeline counts only for the received position', () => {
  const state = parseInstanceState([['t', '10', null, '11', '0/1', '0/2']])._unsafeUnwrap();
  assert.equal(state, {
    writable: false,
    replayedPosition: { timeline: 10, lsn: 1n },
    receivedPosition: { timeline: 11, lsn: 2n },
  });
});

test('a replica that never streamed reports its replayed position', () => {
  const state = parseInstanceState([['t', '3', null, null, null, null]])._unsafeUnwrap();
  const position = { timeline: 3, lsn: 0n };
  assert.equal(state, { writable: false, replayedPosition: position, receivedPosition: position });
});

test('rows of another shape are errors', () => {
  const wrong = [
    [],
    [['f', '1', WAL_FILE, null, '0/1']],
    [['x', '1', WAL_FILE, null, '0/1', '0/1']],
    [['f', '1', null, null, '0/1', '0/1']],
    [['t', 'one', null, null, '0/1', '0/1']],
    [['t', '1', null, 'two', '0/1', '0/1']],
    [['t', '1', null, null, 'nowhere', '0/1']],
  ];
  for (const rows of wrong) assert.ok(parseInstanceState(rows).isErr());
});

test.run();
