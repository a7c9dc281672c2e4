import { once } from 'node:events';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { TLSSocket } from 'node:tls';
import { serialize } from 'pg-protocol';
import { generate } from 'selfsigned';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { connectBackend } from '../../../src/postgres/backend/connect.js';
import {
  BackendBusyError,
  BackendLostError,
  BackendQueryError,
} from '../../../src/postgres/backend/errors.js';
import {
  type BackendConnectOptions,
  createBackendCounters,
} from '../../../src/postgres/backend/options.js';
import type {
  BackendBatch,
  BackendBatchResult,
  BackendConnection,
  PreparedStatement,
} from '../../../src/postgres/contract.js';
import * as messages from '../../../src/postgres/messages.js';
import {
  acceptSession,
  dataRow,
  ROW_DESCRIPTION,
  ready,
  SCRIPTED_PROCESS_ID,
  SCRIPTED_SECRET_KEY,
  type ScriptedConnection,
  type ScriptHandlers,
  startScriptedServer,
} from '../../support/scripted-server.js';

const DONE = messages.commandComplete('SELECT 1');
const ERROR = messages.errorResponse({ severity: 'ERROR', code: '42601', message: 'no' });
const GENEROUS_TIMEOUT_MS = 20_000;

interface Finished {
  readonly end: BackendBatchResult;
  readonly relayed: Buffer;
}

type Script = (session: ScriptedConnection) => Promise<void>;

function optionsFor(port: number): BackendConnectOptions {
  return {
    host: '127.0.0.1',
    port,
    user: 'bureau',
    database: 'orders',
    connectTimeoutMs: GENEROUS_TIMEOUT_MS,
    cancelTimeoutMs: GENEROUS_TIMEOUT_MS,
  };
}

/** Runs `body` on a connection to a server that accepts the log-in and then follows the script. */
async function withConnection(
  script: Script,
  body: (connection: BackendConnection) => Promise<void>,
  extra: Partial<BackendConnectOptions> = {},
  handlers: ScriptHandlers = {},
): Promise<void> {
  const server = await startScriptedServer({
    ...handlers,
    onSession: async (session) => {
      acceptSession(session);
      await script(session);
    },
  });
  try {
    const connection = await connectBackend({ ...optionsFor(server.port), ...extra });
    await body(connection._unsafeUnwrap());
    connection._unsafeUnwrap().close();
  } finally {
    server.close();
  }
}

function run(connection: BackendConnection, batch: Partial<BackendBatch>): Promise<Finished> {
  return new Promise((resolve) => {
    const relayed: Buffer[] = [];
    connection.run({
      requires: [],
      messages: serialize.query('SELECT 1'),
      appendedQuery: undefined,
      onMessages: (part) => relayed.push(part),
      onFinished: (end) => resolve({ end, relayed: Buffer.concat(relayed) }),
      ...batch,
    });
  });
}

function statement(name: string): PreparedStatement {
  return { backendName: name, text: `SELECT '${name}'`, parameterTypes: [] };
}

function executeBatch(name: string): Buffer {
  return Buffer.concat([
    serialize.bind({ statement: name }),
    serialize.execute({}),
    serialize.sync(),
  ]);
}

function closed(connection: BackendConnection): Promise<Error> {
  return new Promise((resolve) => {
    connection.onClose = resolve;
  });
}

test('start-up parameters are sent, parameter status is stored, and query() returns rows', async () => {
  let startup: readonly string[] = [];
  await withConnection(
    async (session) => {
      startup = session.startup;
      await session.readUntil('Q');
      session.send(ROW_DESCRIPTION, dataRow('1'), DONE, ready());
    },
    async (connection) => {
      assert.is(connection.parameters.get('server_version'), '16.0');
      assert.equal((await connection.query('SELECT 1'))._unsafeUnwrap(), [['1']]);
      assert.is(startup[startup.indexOf('application_name') + 1], 'meadowstack');
      assert.is(startup[startup.indexOf('user') + 1], 'bureau');
    },
    { startupParameters: { application_name: 'meadowstack' } },
  );
});

test('a missing prepared statement is sent once, and its ParseComplete is not relayed', async () => {
  const seen: string[] = [];
  await withConnection(
    async (session) => {
      seen.push(await session.readUntil('S'));
      session.send(messages.PARSE_COMPLETE, messages.BIND_COMPLETE, dataRow('1'), DONE, ready());
      seen.push(await session.readUntil('S'));
      session.send(messages.BIND_COMPLETE, dataRow('2'), DONE, ready());
    },
    async (connection) => {
      const batch = { requires: [statement('s1')], messages: executeBatch('s1') };
      const first = await run(connection, batch);
      const second = await run(connection, batch);
      assert.equal(seen, ['PBES', 'BES']);
      const bind = messages.BIND_COMPLETE;
      assert.equal(first.relayed, Buffer.concat([bind, dataRow('1')]));
      assert.equal(second.relayed, Buffer.concat([bind, dataRow('2')]));
      assert.equal(second.end.type === 'ready' && second.end.heldBack, DONE);
    },
  );
});

test('the error of a failed Parse is the response to its batch, and the next batch sends the Parse again', async () => {
  const seen: string[] = [];
  await withConnection(
    async (session) => {
      seen.push(await session.readUntil('S'));
      session.send(ERROR, ready());
      seen.push(await session.readUntil('S'));
      session.send(messages.PARSE_COMPLETE, messages.BIND_COMPLETE, DONE, ready());
    },
    async (connection) => {
      const batch = { requires: [statement('s1')], messages: executeBatch('s1') };
      const { end, relayed } = await run(connection, batch);
      assert.is(relayed.length, 0);
      assert.equal(end.type === 'ready' ? end.heldBack : undefined, ERROR);
      assert.is(end.type === 'ready' ? end.errorSqlState : undefined, '42601');
      await run(connection, batch);
      assert.equal(seen, ['PBES', 'PBES']);
    },
  );
});

test('the least recently used statement is closed at the limit, and DISCARD ALL removes all statements', async () => {
  const seen: string[] = [];
  const done = [messages.BIND_COMPLETE, DONE, ready()];
  await withConnection(
    async (session) => {
      for (const prelude of [[messages.PARSE_COMPLETE], [messages.PARSE_COMPLETE]]) {
        seen.push(await session.readUntil('S'));
        session.send(...prelude, ...done);
      }
      seen.push(await session.readUntil('S'));
      session.send(messages.CLOSE_COMPLETE, messages.PARSE_COMPLETE, ...done);
      seen.push(await session.readUntil('Q'));
      session.send(messages.commandComplete('DISCARD ALL'), ready());
      seen.push(await session.readUntil('S'));
      session.send(messages.PARSE_COMPLETE, ...done);
    },
    async (connection) => {
      for (const name of ['s1', 's2', 's3']) {
        await run(connection, { requires: [statement(name)], messages: executeBatch(name) });
      }
      assert.ok((await connection.query('DISCARD ALL')).isOk());
      await run(connection, { requires: [statement('s3')], messages: executeBatch('s3') });
      assert.equal(seen, ['PBES', 'PBES', 'CPBES', 'Q', 'PBES']);
    },
    { maximumPreparedStatements: 2 },
  );
});

test('an error of the appended query is not relayed, only that of the caller’s own batch', async () => {
  const seen: string[] = [];
  await withConnection(
    async (session) => {
      seen.push(await session.readUntil('S'), await session.readUntil('Q'));
      session.send(ERROR, ready('E'), ERROR, ready('E'));
    },
    async (connection) => {
      const { end, relayed } = await run(connection, {
        messages: executeBatch(''),
        appendedQuery: 'SELECT position',
      });
      assert.equal(seen, ['BES', 'Q']);
      assert.is(relayed.length, 0);
      assert.equal(end.type === 'ready' && end.heldBack, ERROR);
      assert.is(end.type === 'ready' && end.status, 'E');
      assert.is(end.type === 'ready' && end.appendedQueryRows, undefined);
    },
  );
});

test('an unexpected message closes the connection with a typed error', async () => {
  const counters = createBackendCounters();
  await withConnection(
    async (session) => {
      await session.readUntil('Q');
      session.send(dataRow('1'), Buffer.from([0x47, 0, 0, 0, 7, 0, 0, 0]));
    },
    async (connection) => {
      const closing = closed(connection);
      const { end } = await run(connection, {});
      assert.is(end.type, 'lost');
      assert.is(end.type === 'lost' && end.anyBytesWritten, true);
      const error = await closing;
      assert.ok(error instanceof BackendLostError && error.reason === 'protocol-violation');
      assert.is(counters.protocolViolations, 1);
      const after = await run(connection, {});
      assert.is(after.end.type === 'lost' && after.end.anyBytesWritten, false);
    },
    { counters },
  );
});

test('a FATAL error ends the batch as lost, gives the reason, and is not relayed', async () => {
  const fatal = messages.errorResponse({ severity: 'FATAL', code: '57P01', message: 'stop' });
  await withConnection(
    async (session) => {
      await session.readUntil('Q');
      session.socket.end(Buffer.concat([dataRow('1'), fatal]));
    },
    async (connection) => {
      const { end, relayed } = await run(connection, {});
      assert.equal(relayed, dataRow('1'));
      assert.ok(end.type === 'lost' && end.anyBytesRelayed);
      assert.ok(end.error instanceof BackendLostError);
      assert.is(end.error.reason, 'ended-by-server');
      assert.is(end.error.serverError?.sqlState, '57P01');
    },
  );
});

test('a second batch is refused before any byte is written while one runs, and query errors are typed', async () => {
  await withConnection(
    async (session) => {
      await session.readUntil('Q');
      session.send(ERROR, ready());
    },
    async (connection) => {
      const query = connection.query('SELECT');
      const { end } = await run(connection, {});
      assert.ok(
        end.type === 'lost' && !end.anyBytesWritten && end.error instanceof BackendBusyError,
      );
      assert.ok((await query)._unsafeUnwrapErr() instanceof BackendQueryError);
    },
  );
});

test('pause stops reading until resume', async () => {
  const value = 'x'.repeat(60_000);
  const rows = 200;
  let sentAll = false;
  await withConnection(
    async (session) => {
      await session.readUntil('Q');
      for (let row = 0; row < rows; row += 1) {
        if (!session.socket.write(dataRow(value))) await once(session.socket, 'drain');
      }
      sentAll = true;
      session.send(DONE, ready());
    },
    async (connection) => {
      let relayedBytes = 0;
      let bytesAtPause = 0;
      let paused = false;
      const { end } = await run(connection, {
        onMessages: (part) => {
          relayedBytes += part.length;
          if (paused) return;
          paused = true;
          connection.pause();
          // After two turns of the event loop, everything already read has been relayed.
          void setImmediate().then(async () => {
            bytesAtPause = relayedBytes;
            await setImmediate();
            assert.is(relayedBytes, bytesAtPause);
            assert.is(sentAll, false);
            connection.resume();
          });
        },
      });
      assert.is(end.type, 'ready');
      assert.is(relayedBytes, rows * dataRow(value).length);
    },
  );
});

test('cancel: the batch ends only once the server has closed the cancel connection', async () => {
  let cancelSocket: Socket | undefined;
  let cancelArrived: (() => void) | undefined;
  const cancelSeen = new Promise<void>((resolve) => {
    cancelArrived = resolve;
  });
  await withConnection(
    async (session) => {
      await session.readUntil('Q');
      await cancelSeen;
      session.send(messages.parameterStatus('answer', 'read'), ERROR, ready());
    },
    async (connection) => {
      let finished = false;
      const running = run(connection, {}).then(() => {
        finished = true;
      });
      const cancelling = connection.cancel();
      while (connection.parameters.get('answer') === undefined) await setImmediate();
      await setImmediate();
      assert.is(finished, false);
      cancelSocket?.end();
      await running;
      assert.ok((await cancelling).isOk());
    },
    {},
    {
      onCancel: (processId, secretKey, socket) => {
        assert.equal([processId, secretKey], [SCRIPTED_PROCESS_ID, SCRIPTED_SECRET_KEY]);
        cancelSocket = socket;
        cancelArrived?.();
      },
    },
  );
});

test('cancel: if the close of the cancel connection is not observed, the connection becomes unusable', async () => {
  let finishBatch: (() => void) | undefined;
  const cancelSeen = new Promise<void>((resolve) => {
    finishBatch = resolve;
  });
  await withConnection(
    async (session) => {
      await session.readUntil('Q');
      await cancelSeen;
      session.send(DONE, ready());
    },
    async (connection) => {
      const closing = closed(connection);
      const running = run(connection, {});
      await connection.cancel();
      assert.is((await running).end.type, 'ready');
      const error = await closing;
      assert.ok(error instanceof BackendLostError && error.reason === 'cancel-uncertain');
      const after = await run(connection, {});
      assert.is(after.end.type === 'lost' && after.end.anyBytesWritten, false);
    },
    { cancelTimeoutMs: 200 },
    { onCancel: () => finishBatch?.() },
  );
});

test('each kind of refusal on connecting gives its own failure', async () => {
  const refusals = { '53300': 'refused-by-limit', '28P01': 'authentication', '57P03': 'refused' };
  for (const [code, failure] of Object.entries(refusals)) {
    const server = await startScriptedServer({
      onSession: async (session) => {
        session.send(messages.errorResponse({ severity: 'FATAL', code, message: 'no' }));
      },
    });
    const error = (await connectBackend(optionsFor(server.port)))._unsafeUnwrapErr();
    assert.is(error.failure, failure);
    assert.is(error.serverError?.sqlState, code);
    server.close();
  }
});

test('unreachable and silent servers and malformed responses give typed errors', async () => {
  const silent = await startScriptedServer({ onSession: async () => undefined });
  const timeout = await connectBackend({ ...optionsFor(silent.port), connectTimeoutMs: 50 });
  assert.is(timeout._unsafeUnwrapErr().failure, 'timeout');
  silent.close();
  const unreachable = await connectBackend(optionsFor(silent.port));
  assert.is(unreachable._unsafeUnwrapErr().failure, 'unreachable');
  const garbled = await startScriptedServer({
    onSession: async (session) => session.send(Buffer.from('HTTP/1.1 400 Bad Request\r\n\r\n')),
  });
  const protocol = await connectBackend(optionsFor(garbled.port));
  assert.is(protocol._unsafeUnwrapErr().failure, 'protocol');
  garbled.close();
});

test('clear text is refused unless allowed; SCRAM without proof is refused', async () => {
  const cleartext = messages.authentication(3);
  const server = await startScriptedServer({
    onSession: async (session) => {
      session.send(cleartext);
      const { payload } = await session.next();
      assert.is(payload.toString(), 'secret\0');
      acceptSession(session);
    },
  });
  const options = { ...optionsFor(server.port), password: 'secret' };
  const refused = await connectBackend(options);
  assert.is(refused._unsafeUnwrapErr().failure, 'authentication');
  const allowed = await connectBackend({ ...options, allowClearTextPassword: true });
  allowed._unsafeUnwrap().close();
  server.close();
  const impostor = await startScriptedServer({
    onSession: async (session) => {
      session.send(messages.authentication(10, Buffer.from('SCRAM-SHA-256\0\0')));
      await session.next();
      acceptSession(session);
    },
  });
  const fooled = await connectBackend({ ...options, port: impostor.port });
  assert.is(fooled._unsafeUnwrapErr().failure, 'authentication');
  impostor.close();
});

test('TLS: SSLRequest first, certificate checked, refusal and injected bytes are errors', async () => {
  const certificate = await generate([{ name: 'commonName', value: 'database.test' }]);
  let answer: Buffer = Buffer.from('S');
  const server = await startScriptedServer({
    onSslRequest: (socket) => {
      socket.removeAllListeners('data');
      socket.write(answer);
      if (answer.toString() !== 'S') return;
      const secured = new TLSSocket(socket, {
        isServer: true,
        key: certificate.private,
        cert: certificate.cert,
      });
      secured.on('error', () => undefined);
      secured.once('data', () => {
        secured.write(Buffer.concat([messages.authentication(0), ready()]));
      });
    },
  });
  const tls = { authorities: certificate.cert, serverName: 'database.test' };
  const trusted = await connectBackend({ ...optionsFor(server.port), tls });
  trusted._unsafeUnwrap().close();
  const untrusted = await connectBackend({ ...optionsFor(server.port), tls: {} });
  assert.is(untrusted._unsafeUnwrapErr().failure, 'unreachable');
  for (const wrong of ['N', 'S and more']) {
    answer = Buffer.from(wrong);
    const refused = await connectBackend({ ...optionsFor(server.port), tls });
    assert.is(refused._unsafeUnwrapErr().failure, 'protocol');
  }
  server.close();
});

test.run();
