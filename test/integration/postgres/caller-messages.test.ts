/** Tests the callers' side with raw messages, for message sequences that client libraries rarely send. */
import * as assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import pg from 'pg';
import { serialize } from 'pg-protocol';
import { suite } from 'uvu';
import { NotRunError } from '../../../src/core/errors.js';
import { FrameReader } from '../../../src/postgres/frames.js';
import { errorResponse } from '../../../src/postgres/messages.js';
import {
  type CallerFixture,
  DATABASE,
  type FixtureOptions,
  PASSWORD,
  startCallerServer,
  USER,
} from './caller-fixture.js';

const test = suite('caller messages');
const fixtures: CallerFixture[] = [];

/** Uses the socket of a `pg` client that has logged in. */
class RawCaller {
  private readonly types: string[] = [];
  private readonly waiting: (() => void)[] = [];
  private readonly reader = new FrameReader((type, buffer, start, end) => {
    const code = type === 0x45 ? `E${errorCode(buffer.subarray(start, end))}` : letter(type);
    this.types.push(type === 0x5a ? `Z${letter(buffer[end - 1] ?? 0)}` : code);
  });

  constructor(readonly socket: Socket) {
    socket.removeAllListeners('data');
    socket.on('data', (chunk: Buffer) => {
      this.reader.push(chunk);
      for (const wake of this.waiting.splice(0)) wake();
    });
    socket.on('close', () => {
      this.types.push('closed');
      for (const wake of this.waiting.splice(0)) wake();
    });
  }

  send(...messages: Buffer[]): void {
    this.socket.write(Buffer.concat(messages));
  }

  /** Waits for a message of type `last`; returns the types received up to and including it. */
  async until(last: string): Promise<string> {
    while (!this.types.includes(last)) {
      await new Promise<void>((resolve) => this.waiting.push(resolve));
    }
    return this.types.splice(0, this.types.indexOf(last) + 1).join(' ');
  }
}

function letter(code: number): string {
  return String.fromCharCode(code);
}

function errorCode(frame: Buffer): string {
  const at = frame.indexOf('\0C', 5);
  return frame.toString('latin1', at + 2, frame.indexOf(0, at + 2));
}

async function rawCaller(options: FixtureOptions = {}): Promise<[RawCaller, CallerFixture]> {
  const fixture = await startCallerServer(options);
  fixtures.push(fixture);
  const { port } = fixture;
  const config = { host: '127.0.0.1', port, user: USER, password: PASSWORD, database: DATABASE };
  const client = new pg.Client(config);
  client.on('error', () => {});
  await client.connect();
  const { stream } = (client as unknown as { connection: { stream: Socket } }).connection;
  return [new RawCaller(stream), fixture];
}

const { bind, close, execute, flush, query, sync } = serialize;
const parse = (name: string, text: string): Buffer => serialize.parse({ name, text });
const describe = (type: 'S' | 'P', name = ''): Buffer => serialize.describe({ type, name });

test.after.each(async () => {
  await Promise.all(fixtures.splice(0).map(({ server }) => server.close()));
});

test('acknowledgements are sent in the order of their messages', async () => {
  const [caller] = await rawCaller();
  caller.send(parse('a', 'select 1'), bind({ statement: 'a' }), execute(), parse('b', 'select 2'));
  caller.send(close({ type: 'S', name: 'a' }), describe('S', 'b'), sync());
  assert.equal(await caller.until('ZI'), '1 2 D C 1 3 t T ZI');
  caller.send(close({ type: 'S', name: 'b' }), sync());
  assert.equal(await caller.until('ZI'), '3 ZI');
  caller.send(sync());
  assert.equal(await caller.until('ZI'), 'ZI');
  caller.send(bind({ statement: 'b' }), execute(), sync());
  assert.equal(await caller.until('ZI'), 'E26000 ZI');
});

test('a statement of a failed batch is not stored, and a stored name can not be parsed with another text', async () => {
  const [caller, { handler }] = await rawCaller();
  handler.intercept = (connection) => {
    handler.intercept = undefined;
    connection.writeError(new NotRunError('queue-full', 'full'));
    connection.finish('I');
    return true;
  };
  caller.send(parse('a', 'select 1'), describe('S', 'a'), sync());
  assert.equal(await caller.until('ZI'), 'E57P03 ZI');
  caller.send(parse('a', 'select 2'), sync());
  assert.equal(await caller.until('ZI'), '1 ZI');
  caller.send(
    parse('a', 'select 2'),
    sync(),
    parse('a', 'select 3'),
    bind({ statement: 'a' }),
    sync(),
  );
  assert.equal(await caller.until('ZI'), '1 ZI');
  assert.equal(await caller.until('ZI'), 'E42P05 ZI');
});

test("the back end's error for a Parse is the only response, and the name stays free", async () => {
  const [caller, { handler }] = await rawCaller();
  const failOnce = (): void => {
    handler.intercept = (connection) => {
      handler.intercept = undefined;
      connection.write(errorResponse({ severity: 'ERROR', code: '42601', message: 'syntax' }));
      connection.finish('I');
      return true;
    };
  };
  failOnce();
  caller.send(parse('a', 'selec 1'), describe('S', 'a'), close({ type: 'S', name: 'b' }), sync());
  assert.equal(await caller.until('ZI'), 'E42601 ZI');
  caller.send(parse('a', 'select 1'), sync());
  assert.equal(await caller.until('ZI'), '1 ZI');
  failOnce();
  caller.send(parse('c', 'selec 1'), flush(), parse('d', 'select 1'), sync(), sync());
  assert.equal(await caller.until('ZI'), 'E42601 ZI');
  assert.equal(await caller.until('ZI'), 'ZI');
  caller.send(bind({ statement: 'd' }), sync());
  assert.equal(await caller.until('ZI'), 'E26000 ZI');
});

test('the unnamed statement outlives its batch until a simple Query', async () => {
  const [caller, { handler }] = await rawCaller();
  caller.send(parse('', 'select 7'), sync(), bind(), execute(), sync());
  assert.equal(await caller.until('ZI'), '1 ZI');
  assert.equal(await caller.until('ZI'), '2 D C ZI');
  assert.deepEqual(
    handler.batches.at(-1)?.requires.map(({ text }) => text),
    ['select 7'],
  );
  caller.send(query('select 1'), bind(), execute(), sync());
  assert.equal(await caller.until('ZI'), 'T D C ZI');
  assert.equal(await caller.until('ZI'), 'E26000 ZI');
});

test('Flush sends the responses so far, and a later error skips messages up to Sync', async () => {
  const [caller, { handler }] = await rawCaller();
  caller.send(parse('a', 'select 1'), describe('S', 'a'), flush());
  assert.equal(await caller.until('T'), '1 t T');
  assert.equal(handler.batches[0]?.endsWithFlush, true);
  caller.send(bind({ statement: 'a' }), execute(), sync());
  assert.equal(await caller.until('ZI'), '2 D C ZI');
  caller.send(bind({ statement: 'a' }), execute(), flush());
  assert.equal(await caller.until('E0A000'), 'E0A000');
  caller.send(bind({ statement: 'a' }), execute(), query('select 1'), sync());
  assert.equal(await caller.until('ZI'), 'ZI');
  caller.send(query('begin'), bind({ statement: 'a' }), execute(), flush());
  assert.equal(await caller.until('ZT'), 'T D C ZT');
  assert.equal(await caller.until('C'), '2 D C');
  caller.send(execute(), sync());
  assert.equal(await caller.until('ZT'), 'D C ZT');
});

test('portals end with their batch', async () => {
  const [caller] = await rawCaller();
  caller.send(
    parse('', 'select 1'),
    bind({ portal: 'p' }),
    sync(),
    execute({ portal: 'p' }),
    sync(),
  );
  assert.equal(await caller.until('ZI'), '1 2 ZI');
  assert.equal(await caller.until('ZI'), 'E34000 ZI');
});

test('function calls are refused, and copy data closes the connection', async () => {
  const [caller] = await rawCaller();
  caller.send(Buffer.from([0x46, 0, 0, 0, 4]));
  assert.equal(await caller.until('ZI'), 'E0A000 ZI');
  caller.send(serialize.copyDone());
  assert.equal(await caller.until('closed'), 'E0A000 closed');
});

test('prepared statements beyond the limits of number and size are refused', async () => {
  const limits = { preparedStatements: 2, preparedStatementBytes: 200 };
  const [caller] = await rawCaller({ limits });
  caller.send(parse('a', 'select 1'), parse('b', 'select 2'), sync());
  assert.equal(await caller.until('ZI'), '1 1 ZI');
  caller.send(parse('c', 'select 3'), sync());
  assert.equal(await caller.until('ZI'), 'E53400 ZI');
  caller.send(close({ type: 'S', name: 'a' }), parse('c', 'select 3'), sync());
  assert.equal(await caller.until('ZI'), '3 1 ZI');
  caller.send(close({ type: 'S', name: 'c' }), parse('c', `select ${'1'.repeat(100)}`), sync());
  assert.equal(await caller.until('ZI'), 'E53400 ZI');
});

test('Terminate closes after the batches before it are answered', async () => {
  const [caller] = await rawCaller();
  caller.send(query('select 1'), query('select 2'), serialize.end(), query('select 3'));
  assert.equal(await caller.until('closed'), 'T D C ZI T D C ZI closed');
});

test('many batches wait in bounded memory while one runs', async () => {
  const limits = { queuedBytes: 64 * 1024 };
  const [caller, { handler }] = await rawCaller({ limits });
  const release = new Promise<() => void>((resolve) => {
    handler.intercept = (connection, batch) => {
      handler.intercept = undefined;
      resolve(() => {
        connection.write(serializeAnswer());
        connection.finish('I');
      });
      return batch.statements.length === 1;
    };
  });
  const count = 20_000;
  caller.send(
    ...Array.from({ length: count }, (_, index) => query(`select ${index}`)),
    query('last'),
  );
  (await release)();
  while (handler.batches.at(-1)?.statements[0] !== 'last') await caller.until('ZI');
  assert.equal(handler.batches.length, count + 1);
});

function serializeAnswer(): Buffer {
  return Buffer.from([0x49, 0, 0, 0, 4]);
}

test('a log-in that stalls or sends malformed data is closed with an error', async () => {
  const limits = { startupTimeoutMs: 50, lingerMs: 50, unauthenticatedConnections: 1 };
  const [, fixture] = await rawCaller({ limits });
  const stalled = new RawCaller(connect(fixture.port, '127.0.0.1'));
  assert.equal(await stalled.until('closed'), 'E08P01 closed');
  const garbage = new RawCaller(connect(fixture.port, '127.0.0.1'));
  garbage.send(Buffer.from('GET / HTTP/1.1\r\n\r\n'));
  assert.equal(await garbage.until('closed'), 'E54000 closed');
});

test.run();
