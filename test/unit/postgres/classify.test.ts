/** Examples of statements and their classification. */
import * as assert from 'node:assert/strict';
import { test } from 'uvu';
import { classify, StatementClassifier } from '../../../src/postgres/statements/classify.js';
import { normalize } from '../../../src/postgres/statements/normalize.js';

const READS = [
  'select 1',
  "SELECT id, name FROM glossary WHERE id = $1 AND lang = 'fr' ORDER BY id LIMIT 5;",
  'select count(*), max(a) from t group by b having count(*) > 1',
  'with a as (select 1 as x) select * from a',
  'select a from t union all select b from u',
  'values (1, 2), (3, 4)',
  'select pg_sleep(0.1)',
  'select pg_catalog.now(), coalesce(a, 1) from t',
  "select 'insert into t; delete from u' as text",
  'select "update" from "delete"',
  '-- a comment\nselect 1 /* delete from t */',
  'explain select * from t',
  'explain (analyze, verbose) select * from t',
  "select interval '1 day' + now()",
  'show search_path',
  '',
  ' ; -- nothing',
  'select 1; select 2',
  'savepoint a',
  'rollback to savepoint a',
];

const WRITES = [
  'insert into t values (1)',
  'update t set a = 1',
  'delete from t',
  'select * into u from t',
  'select * from t for update',
  'select * from t for no key update skip locked',
  'select * from t for share',
  "select nextval('s')",
  "select pg_catalog.setval('s', 1)",
  'select public.lower(a) from t',
  'select "NEXTVAL"(1)',
  'select own_function(1)',
  "select /* lower */ nextval /* ( */ ('s')",
  'with a as (insert into t values (1) returning id) select * from a',
  'select 1; delete from t',
  "select 1from t where nextval('s') = 1",
  'create table t (a int)',
  'vacuum t',
  'call p()',
  'do $$ begin delete from t; end $$',
  'explain analyze delete from t',
  'explain select own_function(1)',
  "select 'unterminated",
  'select /* unterminated',
  'begin; select 1',
  'no such statement',
  'select txid_current()',
  "select E'\\'', nextval('s'), '\\'",
  "select '\\', nextval('s'), '\\'",
  "select $a$ $b$ $a$, nextval('s'), $a$",
];

const UNSUPPORTED: readonly (readonly [text: string, feature: string])[] = [
  ['copy t from stdin', 'COPY'],
  ['LISTEN channel', 'LISTEN'],
  ['unlisten *', 'UNLISTEN'],
  ["notify channel, 'x'", 'NOTIFY'],
  ["select pg_notify('a', 'b')", 'NOTIFY'],
  ['declare c cursor with hold for select 1', 'WITH HOLD cursor'],
  ['declare c cursor for select 1', 'DECLARE outside a transaction block'],
  ['set search_path = x', 'SET search_path without LOCAL'],
  ['set session work_mem to 1', 'SET work_mem without LOCAL'],
  ['set role other', 'SET ROLE'],
  ['set session authorization other', 'SET AUTHORIZATION'],
  ['reset role', 'RESET ROLE'],
  ["set client_encoding to 'LATIN1'", 'SET client_encoding without LOCAL'],
  ['create temp table x (a int)', 'temporary table'],
  ['create or replace temporary view v as select 1', 'temporary table'],
  ['select * into temp x from t', 'temporary table'],
  ['create table pg_temp.x (a int)', 'temporary table'],
  ['select pg_advisory_lock(1)', 'session advisory lock'],
  ['select "pg_try_advisory_lock"(1)', 'session advisory lock'],
  ['select pg_advisory_unlock_all()', 'session advisory lock'],
  ["select set_config('a.b', 'c', false)", 'set_config beyond the transaction'],
  ["select set_config('a.b', 'c', $1)", 'set_config beyond the transaction'],
  ['prepare x as select 1', 'SQL-level PREPARE'],
  ['execute x', 'SQL-level EXECUTE'],
  ['deallocate all', 'SQL-level DEALLOCATE'],
  ["prepare transaction 'x'", 'two-phase commit'],
  ["commit prepared 'x'", 'two-phase commit'],
  ['commit and chain', 'COMMIT AND CHAIN'],
  ["load 'x'", 'LOAD'],
  ['discard all', 'DISCARD'],
  ['begin; select 1; commit', 'transaction control in a multi-statement string'],
  ['select 1; set meadowstack.session = x', 'SET in a multi-statement string'],
  ['select 1; listen x', 'LISTEN'],
  ['select 1and 2; listen x', 'LISTEN'],
  ['select U&"pg_\\0061dvisory_lock"(1)', 'U& identifier'],
];

test('statements that provably only read are classified as reads', () => {
  for (const text of READS) {
    const { access, unsupportedFeature: unsupported } = classify(text);
    assert.deepEqual(
      { text, access, unsupported },
      { text, access: 'read', unsupported: undefined },
    );
  }
});

test('all other statements are classified as writes', () => {
  for (const text of WRITES) assert.equal(classify(text).access, 'write', text);
});

test('features that pooling does not support are named', () => {
  for (const [text, feature] of UNSUPPORTED)
    assert.equal(classify(text).unsupportedFeature, feature, text);
});

test('forms that are local to a transaction are accepted', () => {
  const texts = [
    'set local work_mem = 1',
    'set transaction isolation level serializable',
    "select set_config('a.b', 'c', true)",
    'select pg_advisory_xact_lock(1)',
  ];
  for (const text of texts) assert.equal(classify(text).unsupportedFeature, undefined, text);
  assert.equal(classify('declare c cursor for select 1', true).unsupportedFeature, undefined);
});

test('statements of transaction control are recognized', () => {
  const controls: readonly (readonly [string, string, string])[] = [
    ['begin', 'begin', 'write'],
    ['BEGIN TRANSACTION READ ONLY', 'begin', 'read'],
    ['start transaction read only, isolation level serializable', 'begin', 'read'],
    ['start transaction read write', 'begin', 'write'],
    ['commit', 'commit', 'write'],
    ['end work', 'commit', 'write'],
    ['rollback;', 'rollback', 'read'],
    ['abort', 'rollback', 'read'],
    ['rollback to a', 'none', 'read'],
    ['release a', 'none', 'read'],
  ];
  for (const [text, control, access] of controls) {
    const found = classify(text);
    assert.deepEqual([text, found.transactionControl, found.access], [text, control, access]);
  }
});

test('settings that the gateway handles itself are recognized', () => {
  const settings: readonly (readonly [string, string, string, string | undefined])[] = [
    ["set meadowstack.session = 'a''b'", 'set', 'meadowstack.session', "a'b"],
    ['SET SESSION Meadowstack.Session TO Abc', 'set', 'meadowstack.session', 'abc'],
    ['reset meadowstack.session', 'reset', 'meadowstack.session', undefined],
    ['show meadowstack.session_id', 'show', 'meadowstack.session_id', undefined],
    ["set application_name = 'x'", 'set', 'application_name', 'x'],
    ['set extra_float_digits = 3', 'set', 'extra_float_digits', '3'],
    ['SET DateStyle = ISO, MDY', 'set', 'datestyle', 'iso,mdy'],
    ["set names 'UTF8'", 'set', 'names', 'UTF8'],
    ["set time zone 'UTC'", 'set', 'timezone', 'UTC'],
  ];
  for (const [text, action, name, value] of settings) {
    const found = classify(text);
    assert.deepEqual(found.sessionSetting, { action, name, value }, text);
    assert.equal(found.unsupportedFeature, undefined);
  }
});

test('texts that differ in literals and comments have one normal form', () => {
  const normal = normalize("select a from t where b = 'x' and c in (1, 2.5e3, $1) -- end");
  assert.equal(normal, "select a from t where b = '1' and c in (1)");
  const other = normalize("select a /*x*/ from t where b = $$'$$ and c in (7,'8')");
  assert.equal(other, normal);
  assert.equal(normalize("select 1from t where a='x'and b"), "select 1 from t where a='1' and b");
});

test('bulk inserts have one normal form, and overlong texts are refused', () => {
  const rows = Array.from({ length: 50_000 }, (_, index) => `(${index}, 'x')`).join(', ');
  assert.equal(normalize(`insert into t values ${rows}`), 'insert into t values (1)');
  assert.equal(classify(`insert into t values ${rows}`).unsupportedFeature, undefined);
  const columns = Array.from({ length: 50_000 }, (_, index) => `c${index}`).join();
  assert.match(classify(`select ${columns}`).unsupportedFeature ?? '', /^statement with more than/);
  assert.match(
    classify(`select ${'1 '.repeat(600_000)}`).unsupportedFeature ?? '',
    /^statement with/,
  );
});

test('statements beyond the parse budget are classified as writes, and as reads again later', () => {
  let now = 0;
  const classifier = new StatementClassifier({ now: () => (now += 600) });
  assert.equal(classifier.classify('select a').access, 'read');
  assert.equal(classifier.classify('select b').access, 'read');
  assert.equal(classifier.classify('select c').access, 'read');
  const rest = Array.from({ length: 10 }, (_, index) => classifier.classify(`select x${index}`));
  assert.ok(rest.some(({ access }) => access === 'write'));
  now += 60_000;
  assert.equal(classifier.classify('select x9').access, 'read');
  assert.equal(classifier.classify('select a').access, 'read');
});

test.run();
