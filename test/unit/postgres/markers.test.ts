/** Examples of statements and the markers read from them. */
import * as assert from 'node:assert/strict';
import { test } from 'uvu';
import {
  InvalidMarkerError,
  NO_MARKERS,
  readMarkers,
} from '../../../src/postgres/statements/markers.js';

test('markers at the start and at the end of a statement are parsed', () => {
  const start = readMarkers(
    "/*meadowstack_once='a%20b',meadowstack_kind='unlock'*/ update t set a = 1",
  );
  assert.deepEqual(start._unsafeUnwrap(), { ...NO_MARKERS, once: 'a b', kind: 'unlock' });
  const end = readMarkers(
    "select 1 /*traceparent='00-x',meadowstack_stale_ms='500', meadowstack_deadline_ms='800'*/;",
  );
  assert.deepEqual(end._unsafeUnwrap(), { ...NO_MARKERS, staleMs: 500, deadlineMs: 800 });
});

test('comments inside a statement are not markers', () => {
  const texts = [
    "select '/*meadowstack_once=''a''*/'",
    "select 1 /*meadowstack_once='a'*/ + 1",
    "select $$ /*meadowstack_once='a'*/ $$",
    'select "/*meadowstack_once=\'a\'*/"',
    "select 1 -- /*meadowstack_once='a'*/",
    "select E'\\' /*meadowstack_once=x*/'",
  ];
  for (const text of texts) assert.deepEqual(readMarkers(text)._unsafeUnwrap(), NO_MARKERS, text);
});

test('malformed markers are errors that name the marker', () => {
  const faults: readonly (readonly [string, string])[] = [
    ["meadowstack_stale_ms='x'", 'meadowstack_stale_ms'],
    ["meadowstack_deadline_ms='-1'", 'meadowstack_deadline_ms'],
    ["meadowstack_deadline_ms='99999999'", 'meadowstack_deadline_ms'],
    ["meadowstack_once=''", 'meadowstack_once'],
    ['meadowstack_once=a', 'meadowstack_once=a'],
    ["meadowstack_once='%zz'", 'meadowstack_once'],
    [`meadowstack_once='${'a'.repeat(201)}'`, 'meadowstack_once'],
    ["meadowstack_onec='a'", 'meadowstack_onec'],
    ["meadowstack_kind='a',meadowstack_kind='b'", 'meadowstack_kind'],
    [`meadowstack_kind='a',x='${'a'.repeat(3000)}'`, 'meadowstack_*'],
  ];
  for (const [body, marker] of faults) {
    const error = readMarkers(`/*${body}*/ select 1`)._unsafeUnwrapErr();
    assert.ok(error instanceof InvalidMarkerError);
    assert.equal(error.marker, marker);
  }
});

test.run();
