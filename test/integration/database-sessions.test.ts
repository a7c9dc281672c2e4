/** One instance of the database stand-in through node-postgres: sessions, limits, faults. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect, Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import pg from 'pg';
import { generate } from 'selfsigned';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type DatabaseGroup, startDatabaseGroup } from '../../bench/harness/database-group.js';

const PASSWORD = 'secret';
const SLOTS = 2;
const MAX_CONNECTIONS = 6;
const MAX_HELD_BYTES = 1024 * 1024;
const NAME = 'group-only';

let group: DatabaseGroup;
const clients: pg.Client[] = [];

test.before(async () => {
  group = await startDatabaseGroup({
    zones: ['only'],
    slots: SLOTS,
    maxConnections: MAX_CONNECTIONS,
    user: 'alice,bob',
    password: PASSWORD,
  });
  const client = await open();
  await client.query('CREATE TABLE item (id int PRIMARY KEY, name text)');
});

test.after.each(async () => {
  await Promise.allSettled(clients.splice(0).map((client) => client.end()));
  await group.waitForState(NAME, (state) => state.connections === 0);
});

test.after(() => group.stop());

function settings(): pg.ClientConfig {
  const { host, pgPort: port } = group.instance(NAME);
  return { host, port, user: 'alice', database: 'shop', password: PASSWORD };
}

async function open(config: pg.ClientConfig = {}): Promise<pg.Client> {
  const client = new pg.Client({ ...settings(), ...config });
  client.on('error', () => {});
  await client.connect();
  clients.push(client);
  return client;
}

/** SQLSTATE (or system error code) of a rejection; undefined if there is none. */
async function codeOf(work: Promise<unknown>): Promise<string | undefined> {
  try {
    await work;
    return undefined;
  } catch (error) {
    return error instanceof Error && 'code' in error ? String(error.code) : String(error);
  }
}

test('SCRAM accepts the password of every role and refuses others', async () => {
  const client = await open({ user: 'bob' });
  assert.equal((await client.query('SELECT current_user AS name')).rows, [{ name: 'bob' }]);
  assert.is(await codeOf(open({ password: 'wrong' })), '28P01');
  assert.is(await codeOf(open({ user: 'eve' })), '28P01');
});

test('prepared statements return rows with parameters and types', async () => {
  const client = await open();
  const text =
    'SELECT $1::int + 1 AS n, $2::bool AS b, $3::text AS t, $4::bigint AS big, $5::jsonb AS j';
  const values = [41, true, null, '9007199254740991', '{"a":[1]}'];
  const expected = [{ n: 42, b: true, t: null, big: '9007199254740991', j: { a: [1] } }];
  for (let round = 0; round < 2; round += 1) {
    assert.equal((await client.query({ name: 'types', text, values })).rows, expected);
  }
  const wide = await client.query("SELECT length(repeat('x', 5000000)) AS n, repeat('é', 3) AS v");
  assert.equal(wide.rows, [{ n: 5_000_000, v: 'ééé' }]);
});

test('a session stays usable after an error, and a failed block until its end', async () => {
  const client = await open();
  await client.query("INSERT INTO item VALUES (1, 'a')");
  assert.is(await codeOf(client.query('INSERT INTO item VALUES ($1, $2)', [1, 'b'])), '23505');
  await client.query('BEGIN');
  assert.is(await codeOf(client.query('SELECT * FROM nothing')), '42P01');
  assert.is(await codeOf(client.query('SELECT 1')), '25P02');
  assert.is((await client.query('COMMIT')).command, 'ROLLBACK');
  assert.is(await codeOf(client.query('SELECT 1')), undefined);
  await client.query('START TRANSACTION READ ONLY');
  assert.is(await codeOf(client.query('DELETE FROM item')), '25006');
  await client.query('ROLLBACK');
});

test('several statements in one simple query run as one transaction', async () => {
  const client = await open();
  const text = "INSERT INTO item VALUES (50, 'x'); INSERT INTO item VALUES (50, 'y')";
  assert.is(await codeOf(client.query(text)), '23505');
  assert.equal((await client.query('SELECT * FROM item WHERE id = 50')).rows, []);
});

test('the transaction of a lost client is rolled back and its locks are released', async () => {
  const lost = await open();
  const other = await open();
  await other.query("INSERT INTO item VALUES (60, 'old')");
  await lost.query('BEGIN');
  await lost.query("UPDATE item SET name = 'lost' WHERE id = 60");
  const waiting = other.query("UPDATE item SET name = name || '+' WHERE id = 60 RETURNING name");
  await group.waitForState(NAME, (state) => state.runningStatements === 1);
  (lost as unknown as { connection: { stream: Socket } }).connection.stream.destroy();
  assert.equal((await waiting).rows, [{ name: 'old+' }]);
});

test('a cancel request cancels the running statement only', async () => {
  const client = await open();
  const sleeping = codeOf(client.query('SELECT pg_sleep(600)'));
  await group.waitForState(NAME, (state) => state.runningStatements === 1);
  const { processID, secretKey } = client as unknown as { processID: number; secretKey: number };
  await sendCancel(processID, secretKey + 1);
  await sendCancel(processID, secretKey);
  assert.is(await sleeping, '57014');
  assert.equal((await client.query('SELECT 1 AS n')).rows, [{ n: 1 }]);
});

function sendCancel(processId: number, secretKey: number): Promise<void> {
  const { host, pgPort } = group.instance(NAME);
  const message = Buffer.alloc(16);
  [16, 80_877_102, processId, secretKey].forEach((value, index) => {
    message.writeInt32BE(value | 0, index * 4);
  });
  return new Promise((resolve) => {
    const socket = connect(pgPort, host, () => socket.write(message));
    socket.resume();
    socket.on('close', () => resolve());
  });
}

test('connections beyond the limit are refused with 53300', async () => {
  for (let count = 0; count < MAX_CONNECTIONS; count += 1) await open();
  assert.is(await codeOf(open()), '53300');
});

test('statements beyond the slots wait for one; status functions do not', async () => {
  const running = [await open(), await open(), await open()];
  const sleeping = running.map((client) => codeOf(client.query('SELECT pg_sleep(600)')));
  const full = await group.waitForState(NAME, (state) => state.queuedStatements === 1);
  assert.is(full.slotsInUse, SLOTS);
  const observer = await open();
  assert.equal((await observer.query('SELECT pg_is_in_recovery() AS r')).rows, [{ r: false }]);
  for (const client of running) {
    const { processID, secretKey } = client as unknown as { processID: number; secretKey: number };
    await sendCancel(processID, secretKey);
  }
  assert.equal(await Promise.all(sleeping), ['57014', '57014', '57014']);
  const empty = await group.waitForState(NAME, (state) => state.runningStatements === 0);
  assert.equal([empty.slotsInUse, empty.queuedStatements], [0, 0]);
});

test('a stopped reader blocks the response, with bounded memory', async () => {
  const socket = new Socket();
  const client = await open({ stream: () => socket });
  const rows = 100_000;
  const answer = client.query(
    `SELECT g, repeat('x', 1000) AS v FROM generate_series(1, ${rows}) g`,
  );
  socket.pause();
  const held = await group.waitForState(NAME, (state) => state.bufferedOutputBytes > 0);
  assert.ok(held.bufferedOutputBytes < MAX_HELD_BYTES, `${held.bufferedOutputBytes} bytes held`);
  assert.is(held.runningStatements, 1);
  socket.resume();
  assert.is((await answer).rows.length, rows);
});

test('row limits suspend a portal', async () => {
  const client = await open();
  const script = [
    message('P', '\0SELECT g FROM generate_series(1, 5) g\0', [0, 0]),
    message('B', '\0\0', [0, 0, 0, 0, 0, 0]),
    message('E', '\0', [0, 0, 0, 2]),
    message('E', '\0', [0, 0, 0, 0]),
    message('S', '', []),
  ];
  const { stream } = (client as unknown as { connection: { stream: Socket } }).connection;
  const answer = collectTypes(stream, 1);
  stream.write(Buffer.concat(script));
  assert.is(await answer, '12DDsDDDCZ');
});

/** Types of the messages received up to the ReadyForQuery number `batches`. */
function collectTypes(stream: Socket, batches: number): Promise<string> {
  return new Promise((resolve) => {
    stream.removeAllListeners('data');
    let received = Buffer.alloc(0);
    stream.on('data', (chunk: Buffer) => {
      received = Buffer.concat([received, chunk]);
      const types = messageTypes(received);
      if (types.split('Z').length > batches) resolve(types);
    });
  });
}

function message(type: string, text: string, tail: readonly number[]): Buffer {
  const body = Buffer.concat([Buffer.from(text, 'utf8'), Buffer.from(tail)]);
  const head = Buffer.alloc(5);
  head.write(type, 0, 'latin1');
  head.writeInt32BE(body.length + 4, 1);
  return Buffer.concat([head, body]);
}

function messageTypes(bytes: Buffer): string {
  let types = '';
  for (let offset = 0; offset + 5 <= bytes.length; offset += 1 + bytes.readInt32BE(offset + 1)) {
    types += String.fromCharCode(bytes[offset] ?? 0);
  }
  return types;
}

test('pipelined batches are answered in order, and an error skips messages up to its own Sync only', async () => {
  const client = await open();
  const batch = (text: string): Buffer =>
    Buffer.concat([
      message('P', `\0${text}\0`, [0, 0]),
      message('B', '\0\0', [0, 0, 0, 0, 0, 0]),
      message('E', '\0', [0, 0, 0, 0]),
      message('S', '', []),
    ]);
  const { stream } = (client as unknown as { connection: { stream: Socket } }).connection;
  const answer = collectTypes(stream, 3);
  stream.write(Buffer.concat(['SELECT 1', 'SELECT 1/0', 'SELECT 2'].map(batch)));
  assert.is(await answer, '12DCZ12EZ12DCZ');
});

test('TLS is offered with a certificate and refused without', async () => {
  assert.is(
    await codeOf(open({ ssl: true })),
    'Error: The server does not support SSL connections',
  );
  const folder = mkdtempSync(join(tmpdir(), 'database-tls-'));
  const pems = await generate([{ name: 'commonName', value: 'localhost' }]);
  const tls = { keyFile: join(folder, 'key.pem'), certFile: join(folder, 'cert.pem') };
  writeFileSync(tls.keyFile, pems.private);
  writeFileSync(tls.certFile, pems.cert);
  const secure = await startDatabaseGroup({ zones: ['tls'], tls });
  try {
    const { host, pgPort: port } = secure.instance('group-tls');
    const ssl = { ca: pems.cert, checkServerIdentity: () => undefined };
    const client = new pg.Client({ host, port, user: 'alice', ssl });
    await client.connect();
    const { rows } = await client.query("SELECT repeat('x', 100000) AS v");
    assert.is(rows[0]?.v.length, 100_000);
    await client.end();
  } finally {
    await secure.stop();
    rmSync(folder, { recursive: true });
  }
});

test('a transaction is kept by a crash after its commit and lost by a crash before', async () => {
  await group.setFaults(NAME, { crashAfterCommit: 1 });
  const kept = await open();
  assert.ok(await codeOf(kept.query("INSERT INTO item VALUES (70, 'kept')")));
  await group.setFaults(NAME, { crashBeforeCommit: 1 });
  const lost = await open();
  assert.ok(await codeOf(lost.query("INSERT INTO item VALUES (71, 'lost')")));
  const client = await open();
  const { rows } = await client.query('SELECT id FROM item WHERE id IN (70, 71)');
  assert.equal(rows, [{ id: 70 }]);
  const { entries } = await group.commitLog(NAME);
  assert.equal(entries.at(-1)?.keys, ['item/70 put']);
});

test('an instance can refuse connections and accept them again', async () => {
  await group.setFaults(NAME, { refuseConnections: true });
  assert.is(await codeOf(open()), 'ECONNREFUSED');
  await group.setFaults(NAME, { refuseConnections: false });
  assert.is(await codeOf(open()), undefined);
});

test('settings follow SET, SET LOCAL, ROLLBACK and DISCARD ALL', async () => {
  const client = await open();
  const show = async (): Promise<unknown> =>
    (await client.query('SHOW application_name')).rows[0]?.application_name;
  await client.query("SET application_name = 'one'");
  await client.query('BEGIN');
  await client.query("SET LOCAL application_name TO 'local'");
  assert.is(await show(), 'local');
  await client.query('COMMIT');
  assert.is(await show(), 'one');
  await client.query("BEGIN; SET application_name = 'two'; ROLLBACK");
  assert.is(await show(), 'one');
  await client.query('DISCARD ALL');
  assert.is(await show(), '');
});

test.run();
