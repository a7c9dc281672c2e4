/** Caller TLS with a real proxy process that refuses log-ins over plain TCP. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import pg from 'pg';
import selfsigned from 'selfsigned';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Cluster } from '../../../bench/harness/cluster.js';
import { GROUP, startSmallCluster, TENANT } from '../../support/cluster.js';

const test = suite<{ cluster: Cluster; folder: string }>('caller TLS');

test.before(async (context) => {
  const folder = mkdtempSync(join(tmpdir(), 'meadowstack-tls-'));
  const made = await selfsigned.generate([{ name: 'commonName', value: 'localhost' }]);
  writeFileSync(join(folder, 'key.pem'), made.private);
  writeFileSync(join(folder, 'certificate.pem'), made.cert);
  const settings = join(folder, 'settings.yaml');
  writeFileSync(
    settings,
    `callers:\n  tls:\n    keyFile: ${folder}/key.pem\n    certificateFile: ${folder}/certificate.pem\n    required: true\n`,
  );
  context.folder = folder;
  context.cluster = await startSmallCluster({
    proxies: [{ nodeId: 'proxy-1', zone: 'a' }],
    proxyFlags: [`--settings=${settings}`],
  });
});

test.after(async ({ cluster, folder }) => {
  await cluster.stop();
  rmSync(folder, { recursive: true });
});

function clientOf(cluster: Cluster, ssl: pg.ClientConfig['ssl']): pg.Client {
  const { host, port } = cluster.proxy('proxy-1').callers;
  const { name: user, password } = TENANT;
  return new pg.Client({ host, port, user, password, database: GROUP, ssl });
}

test('a caller with TLS is served', async ({ cluster }) => {
  const client = clientOf(cluster, { rejectUnauthorized: false });
  await client.connect();
  assert.is((await client.query('SELECT 1 AS one')).rows[0].one, 1);
  await client.end();
});

test('a caller without TLS is refused with SQLSTATE 28000', async ({ cluster }) => {
  const client = clientOf(cluster, false);
  client.on('error', () => undefined);
  const refused = await client.connect().then(
    () => undefined,
    (error: { code: string }) => error.code,
  );
  assert.is(refused, '28000');
});

test.run();
