/** Callers with keys: tenants by key, revoked and reassigned keys, quotas, and that no key appears in any output. */
import { setTimeout as pause } from 'node:timers/promises';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DirectCluster, ROUTES, type TestTenant } from '../../support/direct-cluster.js';
import { LineClient } from '../../support/line-client.js';
import { until } from '../../support/until.js';

const KEYS = { first: 'k-first-5f1c9a', second: 'k-second-77aa01', other: 'k-other-0b1d2e' };
const TENANTS: readonly TestTenant[] = [
  { name: 'acme', keys: [KEYS.first, KEYS.second] },
  { name: 'zeta', keys: [KEYS.other] },
];
const REVOKE_TIMEOUT_MS = 2500;
const STRICT = { strict_revocation: true, revoke_timeout_ms: REVOKE_TIMEOUT_MS };
const HOST = '127.0.0.1';
const KEPT_OUTPUT_CHARACTERS = 100_000_000;

let cluster: DirectCluster;

test.after.each(async () => {
  await cluster.stop();
});

async function connect(gateway = 0): Promise<LineClient> {
  return LineClient.connect(HOST, cluster.gateway(gateway).callersPort, {});
}

async function open(key: string, gateway = 0): Promise<LineClient> {
  const client = await connect(gateway);
  const answer = await client.start('intake', key);
  assert.is(answer.error, undefined);
  return client;
}

let lastId = 0;
function write(client: LineClient, item: string) {
  lastId += 1;
  return client.query(`id${lastId}`, `WRITE ${item} v`);
}

/** The account that the instances received with each write of an item. */
async function listAccounts(item: string): Promise<string[]> {
  const { runs } = await cluster.platform.log();
  return runs.filter(({ text }) => text.startsWith(`WRITE ${item} `)).map(({ account }) => account);
}

/** All output and metrics of the gateways. */
async function collectOutputsAndMetrics(): Promise<string> {
  const figures = cluster.gateways.map(async ({ internalPort }) => {
    const answer = await fetch(`http://${HOST}:${internalPort}/metrics`);
    return answer.text();
  });
  const outputs = cluster.startedProcesses.map((gateway) => gateway.output());
  return [...outputs, ...(await Promise.all(figures))].join('\n');
}

test('statements run as the tenant that holds the key, and keys are shown nowhere', async () => {
  cluster = await DirectCluster.start({
    tenants: TENANTS,
    bounds: STRICT,
    maxOutputCharacters: KEPT_OUTPUT_CHARACTERS,
  });
  const [acme, zeta] = [await open(KEYS.first), await open(KEYS.other)];
  assert.is((await write(acme, 'a')).error, undefined);
  assert.is((await write(zeta, 'z')).error, undefined);
  assert.equal(await listAccounts('a'), ['acme']);
  assert.equal(await listAccounts('z'), ['zeta']);

  const stranger = await connect();
  assert.is((await stranger.start('intake', 'k-nobody-11')).error?.code, 'UNKNOWNKEY');

  // One key is reassigned to another tenant, the other one is revoked; the sessions stay open.
  const second = await open(KEYS.second);
  await cluster.publish(ROUTES, [
    { name: 'acme', keys: [] },
    { name: 'zeta', keys: [KEYS.other, KEYS.first] },
  ]);
  await until('the key is refused', async () => (await write(second, 's')).error !== undefined);
  assert.is((await write(second, 's')).error?.code, 'UNKNOWNKEY');
  assert.is((await write(acme, 'b')).error, undefined);
  assert.equal(await listAccounts('b'), ['zeta']);

  const shown = await collectOutputsAndMetrics();
  for (const key of [...Object.values(KEYS), 'k-nobody-11']) assert.not.match(shown, key);
});

test('an open transaction is aborted when its key is revoked, and none of its writes is kept', async () => {
  cluster = await DirectCluster.start({ tenants: TENANTS, bounds: STRICT });
  const client = await open(KEYS.first);
  const bystander = await open(KEYS.second);
  assert.is((await client.query('t1', 'BEGIN')).error, undefined);
  assert.is((await client.query('t2', 'WRITE t v')).error, undefined);
  await cluster.publish(ROUTES, [{ name: 'acme', keys: [KEYS.second] }]);
  const late = await open(KEYS.second);
  await until('the change is in force', async () => {
    const answer = await connect();
    return (await answer.start('intake', KEYS.other)).error?.code === 'UNKNOWNKEY';
  });
  assert.is((await client.query('t3', 'COMMIT')).error?.code, 'ABORTED');
  assert.is((await write(bystander, 'x')).error, undefined);
  const { services } = await cluster.platform.log();
  assert.ok(services.every(({ entries }) => entries.length <= 1));
  late.destroy();
});

test('a gateway that can confirm no key refuses requests within the revocation timeout, until it reaches the store', async () => {
  cluster = await DirectCluster.start({ tenants: TENANTS, bounds: STRICT, cuttable: true });
  const client = await open(KEYS.first);
  assert.is((await write(client, 'a')).error, undefined);
  await cluster.setCutFromStore(0, true);
  const cutAt = performance.now();
  await until('refused since its key is not confirmed', async () => {
    const { error } = await write(client, 'b');
    return error?.code === 'BUSY' && /confirmed by the store; retry after \d+ ms/.test(error.text);
  });
  assert.ok(performance.now() - cutAt < REVOKE_TIMEOUT_MS + 1000);
  const before = (await listAccounts('b')).length;
  await write(client, 'b');
  assert.is((await listAccounts('b')).length, before);
  await cluster.setCutFromStore(0, false);
  await until('served again', async () => (await write(client, 'c')).error === undefined);
});

test('a gateway cut off from the store accepts keys that another gateway confirms', async () => {
  const options = { tenants: TENANTS, bounds: STRICT, cuttable: true, gateways: 2 };
  cluster = await DirectCluster.start(options);
  await cluster.waitForPeers();
  const client = await open(KEYS.first);
  await cluster.setCutFromStore(0, true);
  await pause(REVOKE_TIMEOUT_MS + 1500);
  const { error } = await client.query('r1', 'READ a');
  // Without the store the primary may be in doubt, but the key must not be.
  assert.not.match(error?.text ?? '', /confirmed by the store/);
  assert.is(await cluster.metric(0, 'keys_unproven_total'), 0);
});

test('a tenant runs no more than its quota across all gateways, and other tenants are not affected', async () => {
  const [ratePerSecond, burst] = [20, 20];
  const tenants = [
    { name: 'acme', keys: [KEYS.first], ratePerSecond, burst },
    { name: 'zeta', keys: [KEYS.other], ratePerSecond: 1000, burst: 1000 },
  ];
  const bounds = { ...STRICT, quota_window_s: 5, quota_overshoot: 0.1, quota_slack: 4 };
  cluster = await DirectCluster.start({ tenants, bounds, gateways: 2, contracts: ['quota'] });
  const hot = await Promise.all([0, 1, 0, 1].map((gateway) => open(KEYS.first, gateway)));
  const quiet = await open(KEYS.other, 1);
  await until('keepers are assigned', async () => (await write(quiet, 'q')).error === undefined);
  const startedAt = performance.now();
  const refusals: string[] = [];
  await Promise.all(
    hot.map(async (client) => {
      for (let number = 0; number < 100; number += 1) {
        const { error } = await write(client, 'h');
        if (error !== undefined) refusals.push(`${error.code} ${error.text}`);
        await pause(10);
      }
    }),
  );
  const elapsedSeconds = (performance.now() - startedAt) / 1000;
  const ran = (await listAccounts('h')).length;
  assert.ok(ran <= ratePerSecond * elapsedSeconds + burst + 4, `${ran} in ${elapsedSeconds} s`);
  assert.ok(ran >= burst, `${ran} ran`);
  assert.is(ran + refusals.length, 400);
  for (const refusal of refusals) assert.match(refusal, /^BUSY beyond .*retry after \d+ ms$/);
  assert.is((await write(quiet, 'q')).error, undefined);
});

test.run();
