/** Tests the callers' side with `pg` clients. */
import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import pg from 'pg';
import { generate } from 'selfsigned';
import { suite } from 'uvu';
import { NotRunError } from '../../../src/core/errors.js';
import type { CallerConnection } from '../../../src/postgres/contract.js';
import { commandComplete, dataRow, rowDescription } from '../../../src/postgres/messages.js';
import {
  type CallerFixture,
  DATABASE,
  type FixtureOptions,
  PASSWORD,
  startCallerServer,
  USER,
} from './caller-fixture.js';

const test = suite('caller');
const open: { fixtures: CallerFixture[]; clients: pg.Client[] } = { fixtures: [], clients: [] };

async function start(options: FixtureOptions = {}): Promise<CallerFixture> {
  const fixture = await startCallerServer(options);
  open.fixtures.push(fixture);
  return fixture;
}

function clientOf(fixture: CallerFixture, overrides: pg.ClientConfig = {}): pg.Client {
  const { port } = fixture;
  const config = { host: '127.0.0.1', port, user: USER, password: PASSWORD, database: DATABASE };
  const client = new pg.Client({ ...config, ...overrides });
  client.on('error', () => {});
  open.clients.push(client);
  return client;
}

async function connected(
  fixture: CallerFixture,
  overrides: pg.ClientConfig = {},
): Promise<pg.Client> {
  const client = clientOf(fixture, overrides);
  await client.connect();
  return client;
}

function onlyConnection(fixture: CallerFixture): CallerConnection {
  const connection = fixture.handler.connections[0];
  if (connection === undefined) throw new Error('the handler has no connection');
  return connection;
}

test.after.each(async () => {
  await Promise.allSettled(open.clients.map((client) => client.end()));
  await Promise.all(open.fixtures.map(({ server }) => server.close()));
  open.clients = [];
  open.fixtures = [];
});

test('a caller logs in, gets its parameters, and runs simple queries', async () => {
  const fixture = await start();
  const options = '-c meadowstack.session=a\\ b --meadowstack.session-id=me';
  const client = await connected(fixture, { options, application_name: 'orders' });
  const result = await client.query('select 1');
  assert.deepEqual(result.rows, [{ text: 'select 1' }]);
  const { parameters, database } = onlyConnection(fixture);
  assert.equal(parameters.get('meadowstack.session'), 'a b');
  assert.equal(parameters.get('meadowstack.session_id'), 'me');
  assert.equal(parameters.get('application_name'), 'orders');
  assert.equal(database, DATABASE);
});

test('named statements are renamed by content and required again later', async () => {
  const fixture = await start();
  const client = await connected(fixture);
  const query = { name: 'by_id', text: 'select a from t where id = $1', values: [1] };
  for (const _ of [1, 2]) {
    const result = await client.query(query);
    assert.deepEqual(result.rows, [{ text: query.text }]);
  }
  const other = await connected(fixture);
  await other.query({ ...query, name: 'another_name' });
  const [first, second, third] = fixture.handler.batches;
  const name = first?.requires[0]?.backendName ?? '';
  assert.match(name, /^ms_[0-9a-f]{32}$/);
  for (const batch of [first, second, third]) {
    assert.deepEqual(
      batch?.requires.map(({ backendName }) => backendName),
      [name],
    );
    assert.ok(batch?.messages.includes(name));
    assert.ok(!batch?.messages.includes('by_id'));
  }
});

test('unnamed statements are passed on unchanged, and pipelined queries are answered in order', async () => {
  const fixture = await start();
  const client = await connected(fixture, { pipeliningEnabled: true } as pg.ClientConfig);
  const texts = Array.from({ length: 200 }, (_, index) => `select ${index}, $1::int`);
  const results = await Promise.all(texts.map((text, index) => client.query(text, [index])));
  assert.deepEqual(
    results.map(({ rows }) => rows[0].text),
    texts,
  );
  assert.ok(fixture.handler.batches.every(({ requires }) => requires.length === 0));
});

test('a wrong password and an unknown user get the same message exchange and the same error', async () => {
  const fixture = await start();
  const failures = [
    { user: USER, password: 'wrong' },
    { user: 'nobody', password: PASSWORD },
  ];
  for (const failure of failures) {
    await assert.rejects(clientOf(fixture, failure).connect(), {
      code: '28P01',
      message: `password authentication failed for user "${failure.user}"`,
    });
  }
  await assert.rejects(clientOf(fixture, { database: 'other' }).connect(), { code: '3D000' });
  assert.equal(fixture.handler.connections.length, 0);
});

test('connections beyond the limit are refused, and a closed connection makes room for another', async () => {
  const fixture = await start();
  const clients = await Promise.all([1, 2, 3].map(() => connected(fixture)));
  await assert.rejects(clientOf(fixture).connect(), { code: '53300' });
  const closed = new Promise<void>((resolve) => {
    for (const connection of fixture.handler.connections) connection.onClose = resolve;
  });
  await clients[0]?.end();
  await closed;
  await connected(fixture);
  assert.equal(fixture.server.openConnections().length, 3);
});

test('a typed error ends one request, and the connection stays usable', async () => {
  const fixture = await start();
  const client = await connected(fixture);
  fixture.handler.intercept = (connection) => {
    fixture.handler.intercept = undefined;
    connection.writeError(new NotRunError('queue-full', 'the queue is full', 20));
    connection.finish('I');
    return true;
  };
  await assert.rejects(client.query('select $1', [1]), {
    code: '57P03',
    detail: 'MS-NOT-RUN-QUEUE-FULL: not-run',
    hint: 'retry after 20 ms',
  });
  await client.query('select 2');
});

test('a refusal in a transaction block fails the block, and COMMIT rolls back', async () => {
  const fixture = await start();
  const client = await connected(fixture);
  await client.query('begin');
  await assert.rejects(client.query('listen x'), { code: '0A000' });
  await assert.rejects(client.query('select 1'), { code: '25P02' });
  await assert.rejects(client.query('select $1', [1]), { code: '25P02' });
  await client.query({ text: 'commit', values: [], name: 'end_it' });
  assert.deepEqual(fixture.handler.batches.at(-1)?.statements, ['ROLLBACK']);
  await client.query('begin');
  await assert.rejects(client.query('listen x'), { code: '0A000' });
  await client.query('rollback to savepoint a');
  await client.query('select 2');
  await client.query('commit');
  assert.deepEqual(fixture.handler.batches.at(-1)?.statements, ['commit']);
});

test('a cancel request cancels only the running batch of its key', async () => {
  const fixture = await start();
  const client = await connected(fixture);
  const { processID, secretKey } = client as unknown as { processID: number; secretKey: number };
  const running = new Promise<void>((resolve) => {
    fixture.handler.intercept = () => {
      resolve();
      return true;
    };
  });
  const query = client.query('select pg_sleep(1000)');
  await running;
  const connection = onlyConnection(fixture);
  const canceled = new Promise<void>((resolve) => {
    connection.onCancel = resolve;
  });
  await sendCancel(fixture.port, processID, secretKey + 1);
  assert.ok(connection.busy);
  await sendCancel(fixture.port, processID, secretKey);
  await canceled;
  connection.writeError(new NotRunError('deadline-passed', 'canceled'));
  connection.finish('I');
  await assert.rejects(query, { code: '57P03' });
});

async function sendCancel(port: number, processId: number, secretKey: number): Promise<void> {
  const request = Buffer.alloc(16);
  request.writeInt32BE(16, 0);
  request.writeInt32BE(80877102, 4);
  request.writeInt32BE(processId, 8);
  request.writeInt32BE(secretKey | 0, 12);
  const socket = connect(port, '127.0.0.1');
  socket.resume();
  socket.end(request);
  await once(socket, 'close');
}

test('TLS connections are accepted, and plain ones are refused where TLS is required', async () => {
  const pem = await generate([{ name: 'commonName', value: 'localhost' }]);
  const tls = { certificate: pem.cert, privateKey: pem.private, required: true };
  const fixture = await start({ tls });
  const client = await connected(fixture, { ssl: { rejectUnauthorized: false } });
  const value = 'x'.repeat(300_000);
  const result = await client.query(`select '${value}'`);
  assert.equal(result.rows[0].text.length, value.length + 9);
  await assert.rejects(clientOf(fixture).connect(), { code: '28000' });
});

test('a caller that does not read stops the handler until it reads', async () => {
  const fixture = await start();
  const client = await connected(fixture);
  const row = dataRow(['y'.repeat(64 * 1024)]);
  const rows = 500;
  let pauses = 0;
  let reportStopped = (): void => {};
  const stopped = new Promise<void>((resolve) => {
    reportStopped = resolve;
  });
  fixture.handler.intercept = (connection) => {
    let written = 0;
    const writeMore = (): void => {
      while (written < rows) {
        written += 1;
        if (!connection.write(row)) {
          pauses += 1;
          reportStopped();
          return;
        }
      }
      if (written === rows) {
        written += 1;
        connection.write(commandComplete(`SELECT ${rows}`));
        connection.finish('I');
      }
    };
    connection.onDrain = writeMore;
    connection.write(rowDescription(['text']));
    writeMore();
    return true;
  };
  const { stream } = (client as unknown as { connection: { stream: Socket } }).connection;
  const pending = client.query('select big');
  stream.pause();
  await stopped;
  assert.ok(onlyConnection(fixture).busy);
  stream.resume();
  assert.equal((await pending).rows.length, rows);
  assert.ok(pauses > 0);
});

test('a malformed or oversized message closes its own connection only', async () => {
  const fixture = await start({ limits: { messageBytes: 1000 } });
  const other = await connected(fixture);
  const client = await connected(fixture);
  await assert.rejects(client.query(`select '${'x'.repeat(2000)}'`), { code: '54000' });
  const third = await connected(fixture);
  const { stream } = (third as unknown as { connection: { stream: Socket } }).connection;
  const failed = once(third, 'error');
  stream.write(Buffer.from([0x50, 0, 0, 0, 1]));
  const [error] = await failed;
  assert.equal((error as { code: string }).code, '08P01');
  await other.query('select 1');
});

test('on a stop new log-ins are refused, and connections are closed between their requests', async () => {
  const fixture = await start();
  const client = await connected(fixture);
  fixture.server.stopAccepting();
  await client.query('select 1');
  await assert.rejects(clientOf(fixture).connect());
  const failed = once(client, 'error');
  await fixture.server.close();
  assert.equal(((await failed)[0] as { code: string }).code, '57P01');
  assert.equal(fixture.server.openConnections().length, 0);
});

test.run();
