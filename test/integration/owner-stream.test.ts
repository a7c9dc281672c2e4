/** The owner's side of a write on stand-in instances: the result that it reports. */
import { serialize } from 'pg-protocol';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type DatabaseGroup, startDatabaseGroup } from '../../bench/harness/database-group.js';
import type { RunResult } from '../../src/core/group/contract.js';
import type { OpenMessage } from '../../src/node/owner/messages.js';
import { OwnerStream } from '../../src/node/owner/owner-stream.js';
import { createLocalStreamPair } from '../../src/peer/local-stream.js';
import { connectBackend } from '../../src/postgres/backend/connect.js';
import type { BackendConnection } from '../../src/postgres/contract.js';

const GENEROUS_IDLE_MS = 60_000;
const CONNECT_TIMEOUT_MS = 20_000;
const INSERT = 'INSERT INTO orders VALUES (1)';

const test = suite<{ group: DatabaseGroup }>('owner stream');

test.before(async (context) => {
  context.group = await startDatabaseGroup({ zones: ['a', 'b'], user: 'app' });
  const primary = await connectTo(context.group, await primaryOf(context.group));
  const created = await primary.query('CREATE TABLE orders (id int PRIMARY KEY)');
  assert.ok(created.isOk());
  primary.close();
  const { lsn } = await context.group.state(await primaryOf(context.group));
  const replica = await replicaOf(context.group);
  await context.group.waitForState(replica, (state) => state.replayed === lsn);
});

test.after(({ group }) => group.stop());

async function primaryOf(group: DatabaseGroup): Promise<string> {
  return (await group.waitForPrimary()).name;
}

async function replicaOf(group: DatabaseGroup): Promise<string> {
  const primary = await primaryOf(group);
  return group.instances.find(({ name }) => name !== primary)?.name ?? '';
}

async function connectTo(group: DatabaseGroup, name: string): Promise<BackendConnection> {
  const { host, pgPort: port } = group.instance(name);
  const options = { host, port, user: 'app', database: 'orders' };
  return (
    await connectBackend({ ...options, connectTimeoutMs: CONNECT_TIMEOUT_MS })
  )._unsafeUnwrap();
}

function openMessage(text: string, onceKey?: string): OpenMessage {
  return {
    type: 'open',
    requestId: 'r1',
    group: 'group',
    tenant: 'bureau',
    databaseRole: 'app',
    database: 'orders',
    access: 'write',
    kind: 'default',
    weight: 1,
    stalenessBoundMs: 0,
    repeatable: false,
    session: { type: 'unknown' },
    remainingMs: CONNECT_TIMEOUT_MS,
    hold: onceKey === undefined ? 'statement' : 'transaction',
    zone: 'a',
    batch: {
      type: 'batch',
      requires: [],
      messages: serialize.query(text),
      mayCommit: false,
      ...(onceKey === undefined ? {} : { onceKey }),
    },
  };
}

/**
 * Runs the write on the instance as if it were the primary, and resolves with the reported result.
 */
async function reportOf(
  group: DatabaseGroup,
  name: string,
  open: OpenMessage,
): Promise<{ result: RunResult; relayed: number }> {
  const connection = await connectTo(group, name);
  const { opener, acceptor } = createLocalStreamPair();
  let relayed = 0;
  opener.onData = (data) => {
    relayed += data.length;
  };
  const work = new OwnerStream(acceptor, open, {
    abandoned: () => undefined,
    idleTransactionTimeoutMs: GENEROUS_IDLE_MS,
  });
  const result = await new Promise<RunResult>((resolve) => {
    work.start({
      connection,
      onPrimary: true,
      appendPositionQuery: true,
      setIdle: () => undefined,
      closeConnection: () => connection.close(),
      finished: resolve,
    });
  });
  connection.close();
  return { result, relayed };
}

async function assertRefusedInRecovery(group: DatabaseGroup): Promise<void> {
  const replica = await replicaOf(group);
  for (const open of [openMessage(INSERT), openMessage(INSERT, 'order-1')]) {
    const { result, relayed } = await reportOf(group, replica, open);
    assert.equal(result, { type: 'not-writable' });
    assert.is(relayed, 0);
  }
}

test('a write on an instance in recovery is reported as not writable, and nothing of it is relayed', async ({
  group,
}) => {
  await assertRefusedInRecovery(group);
});

test('a write in a transaction that the statement itself made read only is reported as a database error', async ({
  group,
}) => {
  const text = `SET TRANSACTION READ ONLY; ${INSERT}`;
  const { result } = await reportOf(group, await primaryOf(group), openMessage(text));
  assert.is(result.type, 'database-error');
});

test('a write on the primary is reported as completed, with or without an idempotency key', async ({
  group,
}) => {
  const primary = await primaryOf(group);
  const plain = await reportOf(group, primary, openMessage(INSERT));
  assert.is(plain.result.type, 'completed');
  const other = 'INSERT INTO orders VALUES (2)';
  const keyed = await reportOf(group, primary, openMessage(other, 'order-2'));
  assert.is(keyed.result.type, 'completed');
});

test('a write on an instance in recovery is refused the same way if the table of idempotency keys exists', async ({
  group,
}) => {
  const { lsn } = await group.state(await primaryOf(group));
  await group.waitForState(await replicaOf(group), (state) => state.replayed === lsn);
  await assertRefusedInRecovery(group);
});

test.run();
