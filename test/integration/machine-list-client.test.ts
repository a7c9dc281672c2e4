import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type RunningMachines, startMachines } from '../../bench/harness/platform.js';
import type { Machine } from '../../src/platform/contract.js';
import { MachineListClient } from '../../src/platform/machine-list-client.js';
import { until } from '../support/until.js';

interface Context {
  machines: RunningMachines;
  client: MachineListClient;
}

function proxy(name: string): Machine {
  const place = { zone: 'zone-a', host: '127.0.0.1', peerPort: 7000 };
  return { role: 'proxy', name, state: 'live', ...place };
}

const database: Machine = {
  role: 'database',
  name: 'orders-1',
  group: 'orders',
  zone: 'zone-b',
  host: '127.0.0.1',
  port: 5432,
  slots: 5,
  maxConnections: 35,
  state: 'live',
};

const test = suite<Context>('machine list client');

test.before.each(async (context) => {
  context.machines = await startMachines();
  context.client = new MachineListClient({
    endpoint: context.machines,
    clientName: 'test',
    pollWaitMs: 500,
    responseTimeoutMs: 500,
    minPollPeriodMs: 1,
    backoff: { baseMs: 10, maximumMs: 50 },
    random: () => 0.5,
  });
  context.client.start();
});

test.after.each(async ({ machines, client }) => {
  client.stop();
  await machines.stop();
});

function names(client: MachineListClient): string[] {
  return client.current().map((machine) => `${machine.name}:${machine.state}`);
}

async function untilNames(client: MachineListClient, ...expected: string[]): Promise<void> {
  await until(expected.join(), () => names(client).join() === expected.join());
}

test('added, leaving and removed machines are reported', async ({ machines, client }) => {
  const versions: number[] = [];
  client.onChange = (list) => versions.push(list.length);
  await machines.upsert(database);
  await machines.upsert(proxy('p1'));
  await untilNames(client, 'orders-1:live', 'p1:live');
  assert.equal(client.current()[0], database);
  await machines.markLeaving({ role: 'proxy', name: 'p1' });
  await untilNames(client, 'orders-1:live', 'p1:leaving');
  await machines.remove({ role: 'database', name: 'orders-1' });
  await untilNames(client, 'p1:leaving');
  assert.is(versions.at(-1), 1);
  assert.is(client.counters().changes, versions.length);
});

test('an outage removes no machine from the list, and later changes are received', async (context) => {
  const { machines, client } = context;
  await machines.upsert(proxy('p1'));
  await untilNames(client, 'p1:live');
  for (const outage of ['refuse', 'hang', 'reset'] as const) {
    const failures = client.counters().failures;
    await machines.setFaults({ outage });
    await until('two more failures', () => client.counters().failures >= failures + 2);
    assert.equal(names(client), ['p1:live']);
    await machines.setFaults({ outage: 'none' });
    const version = client.counters().version;
    await machines.upsert(proxy('p1'));
    await until('a new version', () => client.counters().version > version);
  }
});

test('each change of availability is reported once', async ({ machines, client }) => {
  const states: boolean[] = [];
  client.onAvailability = (error) => states.push(error === undefined);
  await until('a poll', () => client.counters().version > 0);
  await machines.setFaults({ outage: 'reset' });
  await until('failures', () => client.counters().failures >= 3);
  await machines.setFaults({ outage: 'none' });
  await until('recovery', () => states.length >= 2);
  assert.equal(states, [false, true]);
});

test('malformed entries are counted and skipped, and the other entries are kept', async (context) => {
  const { machines, client } = context;
  await machines.upsert(proxy('p1'));
  await untilNames(client, 'p1:live');
  const named = { ...proxy('p2'), host: 'host.example' };
  await machines.setMalformed([null, { role: 'proxy' }, named, { ...database, port: '5432' }]);
  await until('four', () => client.counters().malformedEntries === 4);
  assert.equal(names(client), ['p1:live']);
});

test('a response with only malformed entries does not empty the list', async (context) => {
  const { machines, client } = context;
  await machines.upsert(proxy('p1'));
  await untilNames(client, 'p1:live');
  await machines.setFrozen(true);
  await machines.claim({ role: 'proxy', name: 'p1' }, 'absent');
  await untilNames(client);
  await machines.claim({ role: 'proxy', name: 'p1' }, null);
  await untilNames(client, 'p1:live');
  await machines.setMalformed([{}]);
  await machines.claim({ role: 'proxy', name: 'p1' }, 'absent');
  await until('malformed', () => client.counters().malformedEntries >= 2);
  assert.equal(names(client), ['p1:live']);
});

test('an empty list of a restarted service is ignored until it lists machines', async (context) => {
  const { machines, client } = context;
  await machines.upsert(proxy('p1'));
  await untilNames(client, 'p1:live');
  await machines.stop();
  const restarted = await startMachines({ port: machines.port });
  context.machines = restarted;
  await until('an earlier version', () => client.counters().version === 1);
  assert.equal(names(client), ['p1:live']);
  await restarted.upsert(proxy('p2'));
  await untilNames(client, 'p2:live');
});

test('a frozen list shows changes only after it is unfrozen', async ({ machines, client }) => {
  await machines.setFrozen(true);
  await machines.upsert(proxy('p1'));
  await machines.claim({ role: 'proxy', name: 'other' }, 'live');
  const version = (await machines.state()).version;
  await until('the claim', () => client.counters().version === version);
  assert.equal(names(client), []);
  await machines.setFrozen(false);
  await untilNames(client, 'p1:live');
});

test('the list may report a removed machine as live and omit a live one', async ({
  machines,
  client,
}) => {
  await machines.upsert(proxy('dead'));
  await machines.upsert(proxy('live'));
  await machines.claim({ role: 'proxy', name: 'dead' }, 'live');
  await machines.remove({ role: 'proxy', name: 'dead' });
  await machines.claim({ role: 'proxy', name: 'live' }, 'absent');
  await untilNames(client, 'dead:live');
  assert.equal((await machines.state()).actual, [proxy('live')]);
});

test.run();
