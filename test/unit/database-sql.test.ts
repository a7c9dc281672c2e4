/** The stand-in's SQL engine, without sockets: statements in, rows out. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ServerError } from '../../standins/database/errors.js';
import type { InstanceFunctions } from '../../standins/database/sql/evaluation.js';
import { parameterize } from '../../standins/database/sql/literals.js';
import type { ExecutionContext } from '../../standins/database/sql/plan.js';
import { compileStatement } from '../../standins/database/sql/planner.js';
import { parseStatements, splitStatements } from '../../standins/database/sql/statements.js';
import { parseValue, type Row, type Value } from '../../standins/database/sql/types.js';
import { Catalog } from '../../standins/database/storage/catalog.js';
import { RowLockedSignal, type Transaction } from '../../standins/database/storage/transaction.js';

const STARTED_AT_MS = Date.UTC(2026, 0, 2, 3, 4, 5, 678);

const functions: InstanceFunctions = {
  isInRecovery: () => true,
  timeline: () => 7,
  systemIdentifier: () => 1,
  currentLsn: () => '0/1',
  receivedLsn: () => '0/3',
  replayedLsn: () => '0/2',
  backendPid: () => 11,
  userName: () => 'alice',
  databaseName: () => 'shop',
  setting: () => undefined,
  changeSetting: () => {},
};

function run(catalog: Catalog, transaction: Transaction, text: string, parameters: Row): Row[] {
  const [statement] = parseStatements(text);
  if (statement?.kind !== 'query') throw new Error('not a query');
  const plan = compileStatement(statement.syntaxTree, catalog, []);
  const context: ExecutionContext = {
    row: [],
    excluded: [],
    aggregates: [],
    sleepMs: 0,
    parameters,
    instance: functions,
    startedAtMs: STARTED_AT_MS,
    transaction,
  };
  return [...plan.execute(context).rows].map((row) => [...row]);
}

/** Runs one statement in a transaction of its own. */
function query(catalog: Catalog, text: string, ...parameters: Value[]): Row[] {
  const transaction = catalog.begin();
  try {
    const rows = run(catalog, transaction, text, parameters);
    catalog.commit(transaction);
    return rows;
  } catch (error) {
    catalog.rollback(transaction);
    throw error;
  }
}

function sqlStateOf(work: () => unknown): string | undefined {
  try {
    work();
    return undefined;
  } catch (error) {
    return error instanceof ServerError ? error.sqlState : String(error);
  }
}

function sampleCatalog(): Catalog {
  const catalog = new Catalog();
  query(
    catalog,
    `CREATE TABLE item (id serial PRIMARY KEY, name text NOT NULL UNIQUE, price int DEFAULT 5,
       at timestamptz DEFAULT now())`,
  );
  query(catalog, "INSERT INTO item (name, price) VALUES ('pen', 2), ('ink', 7), ('pad', NULL)");
  return catalog;
}

test('an insert fills defaults and serials, and RETURNING returns the new row', () => {
  const catalog = sampleCatalog();
  const rows = query(
    catalog,
    "INSERT INTO item (name) VALUES ('cup') RETURNING *, price + 1 AS more",
  );
  assert.equal(rows, [[4, 'cup', 5, '2026-01-02 03:04:05.678+00', 6]]);
});

test('conditions follow three-valued logic', () => {
  const catalog = sampleCatalog();
  const names = (where: string, ...parameters: Value[]): Value[] =>
    query(catalog, `SELECT name FROM item WHERE ${where} ORDER BY name`, ...parameters).flat();
  assert.equal(names('price > 1'), ['ink', 'pen']);
  assert.equal(names('price <> 2'), ['ink']);
  assert.equal(names('NOT (price = 2)'), ['ink']);
  assert.equal(names('price IS NULL OR price = $1', 2), ['pad', 'pen']);
  assert.equal(names('id IN (1, 3)'), ['pad', 'pen']);
  assert.equal(names('id BETWEEN 2 AND 3'), ['ink', 'pad']);
  assert.equal(names("name LIKE 'p%' AND name NOT LIKE '%n'"), ['pad']);
  assert.equal(names('id = ANY($1)', '{1,2}'), ['ink', 'pen']);
});

test('a query applies order, limit, offset and aggregates, and sorts NULL last', () => {
  const catalog = sampleCatalog();
  assert.equal(query(catalog, 'SELECT id FROM item ORDER BY id DESC LIMIT 1 OFFSET $1', 1), [[2]]);
  assert.equal(query(catalog, 'SELECT name FROM item ORDER BY price'), [['pen'], ['ink'], ['pad']]);
  assert.equal(query(catalog, 'SELECT count(*), count(price), sum(price), min(name) FROM item'), [
    [3, 2, 9, 'ink'],
  ]);
  assert.equal(query(catalog, 'SELECT count(*) FROM item WHERE id > 9'), [[0]]);
});

test('an access by index selects the same rows as a full scan', () => {
  const catalog = new Catalog();
  query(catalog, 'CREATE TABLE a (id int PRIMARY KEY, copy int)');
  query(catalog, 'INSERT INTO a SELECT 97 * g % 101, 97 * g % 101 FROM generate_series(1, 100) g');
  query(catalog, 'DELETE FROM a WHERE id % 3 = 0');
  query(catalog, 'UPDATE a SET id = id + 500, copy = copy + 500 WHERE id < 20');
  for (const condition of [
    'COLUMN = 40',
    'COLUMN > 510',
    'COLUMN BETWEEN 90 AND 505',
    'COLUMN IN (1, 2, 502)',
    '50 <= COLUMN',
  ]) {
    const byIndex = query(
      catalog,
      `SELECT id FROM a WHERE ${condition.replace('COLUMN', 'id')} ORDER BY id`,
    );
    const byScan = query(
      catalog,
      `SELECT copy FROM a WHERE ${condition.replace('COLUMN', 'copy')} ORDER BY copy`,
    );
    assert.equal(byIndex, byScan, condition);
  }
});

test('timestamps are parsed with and without a time and an offset', () => {
  const read = (text: string): Value[] =>
    query(new Catalog(), 'SELECT $1::timestamptz', parseValue('timestamptz', text)).flat();
  assert.equal(read('2023-12-31'), ['2023-12-31 00:00:00.000+00']);
  assert.equal(read('2023-12-31 10:20'), ['2023-12-31 10:20:00.000+00']);
  assert.equal(read('2023-12-31T10:20:30.5+0530'), ['2023-12-31 04:50:30.500+00']);
  assert.equal(read('2023-12-31 10:20:30-02'), ['2023-12-31 12:20:30.000+00']);
  assert.throws(() => read('2023-13-31'));
});

test('ON CONFLICT ignores the insert or updates the existing row', () => {
  const catalog = sampleCatalog();
  query(catalog, "INSERT INTO item (name) VALUES ('pen') ON CONFLICT DO NOTHING");
  const update = `INSERT INTO item (name, price) VALUES ('ink', 3)
    ON CONFLICT (name) DO UPDATE SET price = item.price + excluded.price RETURNING price`;
  assert.equal(query(catalog, update), [[10]]);
  assert.equal(query(catalog, 'SELECT count(*) FROM item'), [[3]]);
});

test('status functions return the state of the instance, and a query of them alone needs no slot', () => {
  const catalog = new Catalog();
  const text = `SELECT pg_is_in_recovery(), (SELECT timeline_id FROM pg_control_checkpoint()),
    pg_last_wal_replay_lsn(), pg_last_wal_receive_lsn(),
    CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END`;
  assert.equal(query(catalog, text), [[true, 7, '0/2', '0/3', '0/2']]);
  const needsSlot = (query: string): boolean | undefined => {
    const [statement] = parseStatements(query);
    if (statement?.kind !== 'query') return undefined;
    return compileStatement(statement.syntaxTree, catalog, []).needsSlot;
  };
  assert.is(needsSlot(text), false);
  assert.is(needsSlot('SELECT pg_is_in_recovery(), now()'), true);
});

test('errors have the SQLSTATE of PostgreSQL', () => {
  const catalog = sampleCatalog();
  const stateOf = (text: string, ...parameters: Value[]): string | undefined =>
    sqlStateOf(() => query(catalog, text, ...parameters));
  assert.is(stateOf("INSERT INTO item (name) VALUES ('pen')"), '23505');
  assert.is(stateOf('INSERT INTO item (name) VALUES (NULL)'), '23502');
  assert.is(stateOf('SELECT * FROM nothing'), '42P01');
  assert.is(stateOf('SELECT nothing FROM item'), '42703');
  assert.is(stateOf('SELEC 1'), '42601');
  assert.is(stateOf('SELECT 1 / 0'), '22012');
  assert.is(stateOf('SELECT 2147483647 + 1'), '22003');
  assert.is(stateOf("SELECT 'x'::int"), '22P02');
  assert.is(stateOf('SELECT * FROM item a JOIN item b ON a.id = b.id'), '0A000');
  assert.is(stateOf('SELECT id FROM item WHERE name = 5'), '42883');
  assert.is(stateOf('CREATE TABLE item (id int)'), '42P07');
});

test('a transaction sees its own changes; others see them after its commit', () => {
  const catalog = sampleCatalog();
  const transaction = catalog.begin();
  run(catalog, transaction, "UPDATE item SET name = 'tap' WHERE id = 1", []);
  run(catalog, transaction, 'DELETE FROM item WHERE id = 2', []);
  run(catalog, transaction, "INSERT INTO item (id, name) VALUES (9, 'new')", []);
  const names = 'SELECT name FROM item ORDER BY id';
  assert.equal(run(catalog, transaction, names, []).flat(), ['tap', 'pad', 'new']);
  assert.equal(query(catalog, names).flat(), ['pen', 'ink', 'pad']);
  catalog.commit(transaction);
  assert.equal(query(catalog, names).flat(), ['tap', 'pad', 'new']);
  assert.equal(query(catalog, "SELECT id FROM item WHERE name = 'pen'"), []);
});

test('a rollback restores rows and unique keys', () => {
  const catalog = sampleCatalog();
  const transaction = catalog.begin();
  run(catalog, transaction, "UPDATE item SET name = 'tap' WHERE id = 1", []);
  run(catalog, transaction, "UPDATE item SET name = 'tip' WHERE id = 1", []);
  run(catalog, transaction, "INSERT INTO item (name) VALUES ('tap')", []);
  const { undoPosition: mark } = transaction;
  run(catalog, transaction, 'DELETE FROM item', []);
  transaction.rollbackTo(mark);
  assert.equal(run(catalog, transaction, 'SELECT count(*) FROM item', []), [[4]]);
  catalog.rollback(transaction);
  assert.equal(query(catalog, 'SELECT name FROM item ORDER BY id').flat(), ['pen', 'ink', 'pad']);
  query(catalog, "INSERT INTO item (name) VALUES ('tap'), ('tip')");
  assert.is(
    sqlStateOf(() => query(catalog, "INSERT INTO item (name) VALUES ('pen')")),
    '23505',
  );
});

test('a key that its transaction deleted can be inserted again', () => {
  const catalog = sampleCatalog();
  const transaction = catalog.begin();
  run(catalog, transaction, 'DELETE FROM item WHERE id = 1', []);
  run(catalog, transaction, "INSERT INTO item (id, name) VALUES (1, 'pen')", []);
  catalog.commit(transaction);
  assert.equal(query(catalog, "SELECT id FROM item WHERE name = 'pen'"), [[1]]);
  assert.equal(query(catalog, 'SELECT name FROM item WHERE id = 1'), [['pen']]);
  assert.equal(query(catalog, 'SELECT count(*) FROM item'), [[3]]);
});

test('writers of one row wait for each other, and a deadlock is refused', async () => {
  const catalog = sampleCatalog();
  const { signal } = new AbortController();
  const first = catalog.begin();
  const second = catalog.begin();
  run(catalog, first, 'UPDATE item SET price = 1 WHERE id = 1', []);
  run(catalog, second, 'UPDATE item SET price = 1 WHERE id = 2', []);
  const blocked = (): unknown => run(catalog, second, 'UPDATE item SET price = 2 WHERE id = 1', []);
  assert.throws(blocked, (error: unknown) => error instanceof RowLockedSignal);
  const waiting = second.waitFor(first, signal);
  const deadlock = await first.waitFor(second, signal).catch((error: unknown) => error);
  assert.is(deadlock instanceof ServerError && deadlock.sqlState, '40P01');
  catalog.rollback(first);
  await waiting;
  blocked();
  catalog.commit(second);
  assert.equal(query(catalog, 'SELECT price FROM item WHERE id < 3 ORDER BY id'), [[2], [1]]);
});

test('the changes of a commit give the same tables when applied to a replica', () => {
  const source = sampleCatalog();
  const replica = new Catalog();
  replica.restore(source.snapshot());
  const transaction = source.begin();
  run(source, transaction, "INSERT INTO item (name) VALUES ('cup')", []);
  run(source, transaction, 'UPDATE item SET price = price * 2 WHERE id < 3', []);
  run(source, transaction, 'DELETE FROM item WHERE id = 3', []);
  const changes = source.changesOf(transaction);
  assert.equal(source.describeChanges(changes), [
    'item/4 put',
    'item/1 put',
    'item/2 put',
    'item/3 delete',
  ]);
  source.commit(transaction);
  replica.applyChanges(changes);
  const all = 'SELECT * FROM item ORDER BY id';
  assert.equal(query(replica, all), query(source, all));
  assert.equal(query(replica, "INSERT INTO item (name) VALUES ('next') RETURNING id"), [[5]]);
});

test('texts are split into statements at semicolons outside of quotes and comments', () => {
  const text = `SELECT ';' /* a; b */; -- c;
    SELECT "x;y", 'it''s;' ;; `;
  assert.equal(splitStatements(text), ["SELECT ';'", `SELECT "x;y", 'it''s;'`]);
});

test('session statements are parsed', () => {
  const parsed = parseStatements(
    "START TRANSACTION READ ONLY; SET LOCAL x.y TO 'a b'; ROLLBACK TO s; DISCARD ALL; SHOW search_path",
  );
  assert.equal(parsed, [
    { kind: 'begin', readOnly: true, tag: 'START TRANSACTION' },
    { kind: 'set', name: 'x.y', value: 'a b', tag: 'SET', local: true },
    { kind: 'rollback-to', name: 's' },
    { kind: 'discard-all' },
    { kind: 'show', name: 'search_path' },
  ]);
});

test('literals are replaced by parameters only where the meaning stays the same', () => {
  assert.equal(parameterize("SELECT v1 FROM t2 WHERE id = 5 AND n = 'it''s' LIMIT 3"), {
    text: 'SELECT v1 FROM t2 WHERE id = $1 AND n = $2 LIMIT $3',
    types: ['int4', undefined, 'int4'],
    values: ['5', "it's", '3'],
  });
  assert.is(parameterize('SELECT a FROM t ORDER BY 1'), undefined);
  assert.is(parameterize('SELECT $1, 5'), undefined);
  assert.is(parameterize('CREATE TABLE t (a varchar(5))'), undefined);
});

test.run();
