/** Tests back-end connections against instances of the database stand-in. */
import { serialize } from 'pg-protocol';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type DatabaseGroup, startDatabaseGroup } from '../../../bench/harness/database-group.js';
import { connectBackend } from '../../../src/postgres/backend/connect.js';
import type { BackendConnectOptions } from '../../../src/postgres/backend/options.js';
import {
  POSITION_QUERY,
  parseInstanceState,
} from '../../../src/postgres/backend/position-query.js';
import type {
  BackendBatch,
  BackendBatchResult,
  BackendConnection,
} from '../../../src/postgres/contract.js';

const PASSWORD = 'secret';
const TIMEOUT_MS = 20_000;
const MAX_CONNECTIONS = 4;

let group: DatabaseGroup;
const open: BackendConnection[] = [];

test.before(async () => {
  group = await startDatabaseGroup({
    zones: ['a', 'b'],
    user: 'bureau',
    password: PASSWORD,
    maxConnections: MAX_CONNECTIONS,
  });
  await group.waitForPrimary();
});

test.after.each(() => {
  for (const connection of open.splice(0)) connection.close();
});

test.after(() => group.stop());

function options(name: string): BackendConnectOptions {
  const { host, pgPort: port } = group.instance(name);
  return {
    host,
    port,
    user: 'bureau',
    database: 'orders',
    password: PASSWORD,
    connectTimeoutMs: TIMEOUT_MS,
    cancelTimeoutMs: TIMEOUT_MS,
  };
}

async function connectTo(name: string): Promise<BackendConnection> {
  const connection = (await connectBackend(options(name)))._unsafeUnwrap();
  open.push(connection);
  return connection;
}

async function connectToPrimary(): Promise<BackendConnection> {
  return connectTo((await group.waitForPrimary()).name);
}

function run(
  connection: BackendConnection,
  batch: Partial<BackendBatch>,
): Promise<BackendBatchResult> {
  return new Promise((resolve) => {
    connection.run({
      requires: [],
      messages: serialize.sync(),
      appendedQuery: POSITION_QUERY,
      onMessages: () => undefined,
      onFinished: resolve,
      ...batch,
    });
  });
}

test('every instance reports its role, timeline and positions', async () => {
  const states = await Promise.all(
    group.instances.map(async ({ name }) => {
      const rows = (await (await connectTo(name)).query(POSITION_QUERY))._unsafeUnwrap();
      return parseInstanceState(rows)._unsafeUnwrap();
    }),
  );
  assert.is(states.filter((state) => state.writable).length, 1);
  assert.is(new Set(states.map((state) => state.receivedPosition.timeline)).size, 1);
});

test('a wrong password and a full instance give different failures', async () => {
  const { name } = await group.waitForPrimary();
  const wrong = await connectBackend({ ...options(name), password: 'other' });
  assert.is(wrong._unsafeUnwrapErr().failure, 'authentication');
  let refused: string | undefined;
  for (let count = 0; count <= MAX_CONNECTIONS && refused === undefined; count += 1) {
    const next = await connectBackend(options(name));
    if (next.isOk()) open.push(next.value);
    else refused = next.error.failure;
  }
  assert.is(refused, 'refused-by-limit');
});

test('writes by prepared statements return a position, except in a failed transaction', async () => {
  const connection = await connectToPrimary();
  (await connection.query('CREATE TABLE item (id int PRIMARY KEY, name text)'))._unsafeUnwrap();
  const insert = {
    requires: [
      {
        backendName: 'insert_item',
        text: 'INSERT INTO item (id, name) VALUES ($1, $2)',
        parameterTypes: [],
      },
    ],
    messages: Buffer.concat([
      serialize.bind({ statement: 'insert_item', values: ['1', 'deed'] }),
      serialize.execute({}),
      serialize.sync(),
    ]),
  };
  const before = parseInstanceState((await connection.query(POSITION_QUERY))._unsafeUnwrap());
  const written = await run(connection, insert);
  assert.ok(written.type === 'ready' && written.errorSqlState === undefined);
  assert.match(written.heldBack.toString('latin1'), 'INSERT 0 1');
  const after = parseInstanceState(written.appendedQueryRows ?? [])._unsafeUnwrap();
  assert.ok(after.replayedPosition.lsn > before._unsafeUnwrap().replayedPosition.lsn);
  const doubled = await run(connection, insert);
  assert.ok(doubled.type === 'ready' && doubled.status === 'I');
  assert.is(doubled.errorSqlState, '23505');
  assert.ok(doubled.appendedQueryRows !== undefined);
  (await connection.query('BEGIN'))._unsafeUnwrap();
  const aborted = await run(connection, insert);
  assert.ok(aborted.type === 'ready' && aborted.status === 'E');
  assert.is(aborted.appendedQueryRows, undefined);
  (await connection.query('ROLLBACK'))._unsafeUnwrap();
});

test('statements are prepared again after DISCARD ALL', async () => {
  const connection = await connectToPrimary();
  const select = {
    requires: [{ backendName: 'one', text: 'SELECT 1', parameterTypes: [] }],
    messages: Buffer.concat([
      serialize.bind({ statement: 'one' }),
      serialize.execute({}),
      serialize.sync(),
    ]),
  };
  for (let round = 0; round < 2; round += 1) {
    const end = await run(connection, select);
    assert.ok(end.type === 'ready' && end.errorSqlState === undefined);
    (await connection.query('DISCARD ALL'))._unsafeUnwrap();
  }
});

test('cancel ends the running statement, and the connection stays usable', async () => {
  const connection = await connectToPrimary();
  const sleeping = run(connection, {
    messages: serialize.query('SELECT pg_sleep(60)'),
    appendedQuery: undefined,
  });
  (await connection.cancel())._unsafeUnwrap();
  const end = await sleeping;
  assert.is(end.type === 'ready' && end.errorSqlState, '57014');
  assert.equal((await connection.query('SELECT 1'))._unsafeUnwrap(), [['1']]);
});

test.run();
