import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type AdminServer, startAdminServer } from '../../../src/observability/admin-server.js';
import { createMetrics } from '../../../src/observability/metrics.js';

let ready = true;
let drained = 0;
let server: AdminServer;

test.before(async () => {
  const metrics = createMetrics('n1');
  const started = await startAdminServer({
    host: '127.0.0.1',
    port: 0,
    registry: metrics.registry,
    beforeScrape: () => metrics.configurationRevision.set(7),
    readiness: () => ({ ready, reasons: ready ? [] : ['no-configuration'] }),
    status: () => ({ node: 'n1' }),
    drain: () => {
      drained += 1;
    },
  });
  server = started._unsafeUnwrap();
});

test.after(() => server.close());

function request(path: string, method = 'GET'): Promise<Response> {
  return fetch(`http://127.0.0.1:${server.port}${path}`, { method });
}

test('each scrape returns current metrics of the node and the process', async () => {
  const text = await (await request('/metrics')).text();
  assert.match(text, 'meadowstack_configuration_revision{node="n1"} 7');
  assert.match(text, 'process_resident_memory_bytes');
});

test('a node that is not ready responds 503 with its reasons', async () => {
  assert.is((await request('/health/live')).status, 200);
  assert.is((await request('/health/ready')).status, 200);
  ready = false;
  const refused = await request('/health/ready');
  assert.is(refused.status, 503);
  assert.equal(await refused.json(), { ready: false, reasons: ['no-configuration'] });
});

test('status is read by GET, drain needs POST, and other paths are not found', async () => {
  assert.equal(await (await request('/status')).json(), { node: 'n1' });
  assert.is((await request('/drain')).status, 405);
  assert.is(drained, 0);
  assert.is((await request('/drain', 'POST')).status, 202);
  assert.is(drained, 1);
  assert.is((await request('/nothing')).status, 404);
});

test('a port in use gives MS-ADMIN-LISTEN', async () => {
  const metrics = createMetrics('n2', false);
  const again = await startAdminServer({
    host: '127.0.0.1',
    port: server.port,
    registry: metrics.registry,
    readiness: () => ({ ready: true, reasons: [] }),
    status: () => ({}),
    drain: () => undefined,
  });
  assert.is(again._unsafeUnwrapErr().code, 'MS-ADMIN-LISTEN');
});

test.run();
