/** A group of three database stand-ins: replication, election, divergence and rewind. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import { createInterface } from 'node:readline';
import pg from 'pg';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  type DatabaseGroup,
  type DatabaseInstanceHandle,
  startDatabaseGroup,
} from '../../bench/harness/database-group.js';

let group: DatabaseGroup;
const clients: pg.Client[] = [];

test.before.each(async () => {
  group = await startDatabaseGroup({ seed: 7 });
  const client = await open('group-a');
  await client.query('CREATE TABLE item (id int PRIMARY KEY, name text)');
});

test.after.each(async () => {
  for (const client of clients.splice(0)) void client.end().catch(() => {});
  await group.stop();
});

async function open(name: string): Promise<pg.Client> {
  const { host, pgPort: port } = group.instance(name);
  const client = new pg.Client({ host, port, user: 'alice', database: 'shop' });
  client.on('error', () => {});
  await client.connect();
  clients.push(client);
  return client;
}

async function ids(name: string): Promise<number[]> {
  const client = await open(name);
  const { rows } = await client.query<{ id: number }>('SELECT id FROM item ORDER BY id');
  return rows.map((row) => row.id);
}

/** Waits until an instance has replayed everything that instance `of` has committed. */
async function awaitCaughtUp(name: string, of: string): Promise<void> {
  const { lsn, timeline } = await group.state(of);
  await group.waitForState(name, (state) => state.replayed === lsn && state.timeline === timeline);
}

async function awaitElection(timeline: number, old: string): Promise<DatabaseInstanceHandle> {
  for (;;) {
    const primary = await group.waitForPrimary(timeline);
    if (primary.name !== old) return primary;
  }
}

test('replicas catch up and report their position', async () => {
  const client = await open('group-a');
  await client.query("INSERT INTO item VALUES (1, 'a'), (2, 'b')");
  const primary = await client.query('SELECT pg_current_wal_lsn() AS lsn');
  await awaitCaughtUp('group-b', 'group-a');
  const replica = await open('group-b');
  const position = await replica.query(`SELECT pg_is_in_recovery() AS recovery,
    (SELECT timeline_id FROM pg_control_checkpoint()) AS timeline,
    pg_last_wal_replay_lsn() AS replayed, pg_last_wal_receive_lsn() AS received`);
  const { lsn } = primary.rows[0];
  assert.equal(position.rows, [{ recovery: true, timeline: 1, replayed: lsn, received: lsn }]);
  const refused = await replica.query('SELECT pg_current_wal_lsn()').catch((error) => error.code);
  assert.is(refused, '55000');
  assert.equal(await ids('group-b'), [1, 2]);
});

test('replay lag and a receive stall delay a replica until they end', async () => {
  const client = await open('group-a');
  await awaitCaughtUp('group-b', 'group-a');
  await awaitCaughtUp('group-c', 'group-a');
  await group.setFaults('group-b', { replayLagMs: 600_000 });
  await group.setFaults('group-c', { receiveStall: true });
  await client.query("INSERT INTO item VALUES (1, 'a')");
  const { lsn } = await group.state('group-a');
  const lagging = await group.waitForState('group-b', (state) => state.received === lsn);
  assert.is.not(lagging.replayed, lsn);
  assert.is.not((await group.state('group-c')).received, lsn);
  assert.equal(await ids('group-b'), []);
  await group.setFaults('group-c', { receiveStall: false });
  await awaitCaughtUp('group-c', 'group-a');
  assert.equal(await ids('group-c'), [1]);
});

test('after the primary is killed, the replica that received its whole log is elected', async () => {
  const client = await open('group-a');
  await awaitCaughtUp('group-b', 'group-a');
  await group.setFaults('group-b', { receiveStall: true });
  await client.query("INSERT INTO item VALUES (1, 'a')");
  await awaitCaughtUp('group-c', 'group-a');
  await group.kill('group-a');
  const primary = await awaitElection(2, 'group-a');
  assert.is(primary.name, 'group-c');
  await group.setFaults('group-b', { receiveStall: false });
  const successor = await open('group-c');
  await successor.query("INSERT INTO item VALUES (2, 'b')");
  await awaitCaughtUp('group-b', 'group-c');
  assert.equal(await ids('group-b'), [1, 2]);
});

test('a primary that is cut off accepts writes, and after rejoining discards them and closes its connections', async () => {
  const client = await open('group-a');
  await client.query("INSERT INTO item VALUES (1, 'a')");
  await awaitCaughtUp('group-b', 'group-a');
  await awaitCaughtUp('group-c', 'group-a');
  await group.isolate('group-a', true);
  const primary = await awaitElection(2, 'group-a');
  await client.query("INSERT INTO item VALUES (2, 'lost')");
  assert.is((await group.state('group-a')).role, 'primary');
  const successor = await open(primary.name);
  await successor.query("INSERT INTO item VALUES (3, 'kept')");
  const ended = new Promise<string>((resolve) => {
    client.on('error', (error) => resolve('code' in error ? String(error.code) : error.message));
  });
  await group.isolate('group-a', false);
  assert.is(await ended, '57P01');
  await awaitCaughtUp('group-a', primary.name);
  assert.equal(await ids('group-a'), [1, 3]);
  const { entries, discarded } = await group.commitLog('group-a');
  assert.equal(
    discarded.map((entry) => entry.keys),
    [['item/2 put']],
  );
  assert.equal(entries, (await group.commitLog(primary.name)).entries);
});

test('a paused primary is replaced, and becomes a replica when it resumes', async () => {
  await awaitCaughtUp('group-b', 'group-a');
  await awaitCaughtUp('group-c', 'group-a');
  group.pause('group-a');
  const names = ['group-b', 'group-c'];
  const states = names.map((name) => group.waitForState(name, ({ timeline }) => timeline >= 2));
  await Promise.all(states);
  group.resume('group-a');
  const old = await group.waitForState('group-a', (state) => state.role === 'replica');
  assert.ok(old.history.some(({ event }) => event === 'demoted'));
});

test('a replica cut off from the primary causes no election, and catches up later', async () => {
  await awaitCaughtUp('group-b', 'group-a');
  await awaitCaughtUp('group-c', 'group-a');
  await group.setFaults('group-b', { cutPeers: ['group-a'] });
  const client = await open('group-a');
  for (let id = 0; id < 200; id += 1) {
    await client.query('INSERT INTO item VALUES ($1, $2)', [id, 'x']);
    await group.state('group-b');
  }
  await awaitCaughtUp('group-c', 'group-a');
  assert.is((await group.state('group-a')).role, 'primary');
  assert.is((await group.state('group-a')).timeline, 1);
  await group.setFaults('group-b', { cutPeers: [] });
  await awaitCaughtUp('group-b', 'group-a');
});

test('a killed instance that is restarted gets a snapshot and catches up', async () => {
  const client = await open('group-a');
  await client.query("INSERT INTO item VALUES (1, 'a')");
  await group.kill('group-c');
  await client.query("INSERT INTO item VALUES (2, 'b')");
  await group.restart('group-c');
  await awaitCaughtUp('group-c', 'group-a');
  assert.equal(await ids('group-c'), [1, 2]);
  const { entries } = await group.commitLog('group-c');
  assert.equal(entries, (await group.commitLog('group-a')).entries);
});

test('all instances exit when their harness is killed, even a paused one', async () => {
  const harness = new URL('../../bench/harness/database-group.js', import.meta.url);
  const script = `import { startDatabaseGroup } from ${JSON.stringify(harness.href)};
    const group = await startDatabaseGroup({ group: 'orphan' });
    group.pause('orphan-b');
    console.log(JSON.stringify(group.instances));`;
  const child = spawn(process.execPath, ['--input-type=module', '-e', script], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [line] = (await once(createInterface({ input: child.stdout }), 'line')) as [string];
  child.kill('SIGKILL');
  const instances = JSON.parse(line) as DatabaseInstanceHandle[];
  await Promise.all(instances.map(({ host, pgPort }) => untilRefused(host, pgPort)));
});

/** Waits until nothing listens on a port any more. */
async function untilRefused(host: string, port: number): Promise<void> {
  for (;;) {
    const listening = await new Promise<boolean>((resolve) => {
      const socket = connect(port, host, () => resolve(true));
      socket.on('error', () => resolve(false));
      socket.on('connect', () => socket.destroy());
    });
    if (!listening) return;
  }
}

test('promotion by the control port makes a replica the primary and the primary a replica', async () => {
  await awaitCaughtUp('group-b', 'group-a');
  await group.promote('group-b');
  const primary = await awaitElection(2, 'group-a');
  assert.is(primary.name, 'group-b');
  await group.waitForState('group-a', (state) => state.role === 'replica');
});

test.run();
