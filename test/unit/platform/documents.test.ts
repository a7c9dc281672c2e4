import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseConfiguration, parseInstance } from '../../../platform/documents.js';

const ROUTE = {
  name: 'r-1',
  hostname: 'db-a',
  path_prefix: '/',
  route_type: 'bounded_staleness',
  timeout_ms: 2000,
  target_latency_ms: 500,
  priority: 2,
  service: 'svc',
  max_attempts: 2,
  max_staleness_ms: 1500,
};
const SERVICE = { name: 'svc', max_connections: 34, protocol: 'h1', sync_replicas: 1 };
const ENTRY = {
  service: 'svc',
  address: '10.128.0.9:8080',
  zone: 'zone-a',
  version: 'v1',
  slots: 3,
  state: 'ready',
  cold_remaining_ms: 0,
  database_role: 'replica',
  sequence: 4,
};

function configurationOf(change: object) {
  const whole = { version: 7, routes: [ROUTE], services: [SERVICE], limits: {}, ...change };
  return parseConfiguration(JSON.stringify(whole));
}

test('a configuration is translated', () => {
  const limits = { transaction_idle_ms: 3000, max_body_bytes: 1 };
  assert.equal(configurationOf({ limits })._unsafeUnwrap(), {
    version: 7,
    routes: [
      {
        name: 'r-1',
        database: 'db-a',
        service: 'svc',
        consistency: 'bounded-staleness',
        maxStalenessMs: 1500,
        timeoutMs: 2000,
        targetLatencyMs: 500,
        priority: 2,
        isPublic: false,
      },
    ],
    services: [{ name: 'svc', maxConnections: 34, syncReplicas: 1 }],
    transactionIdleMs: 3000,
    routesLeftOut: 0,
    servicesLeftOut: 0,
    tenantsLeftOut: 0,
  });
});

test('tenants are translated with the digests of their keys, and malformed tenants are skipped', () => {
  const limited = { name: 'a', key_digests: ['d1', 'd2'], rate_per_s: 12, burst: 30 };
  const unlimited = { name: 'b', key_digests: ['d3', null] };
  const malformed = [
    { ...limited, name: 'two words' },
    { ...limited, rate_per_s: 'fast' },
    { ...limited, burst: -1 },
    { key_digests: ['d4'] },
    null,
  ];
  const tenants = [limited, unlimited, ...malformed];
  const configuration = configurationOf({ tenants })._unsafeUnwrap();
  assert.equal(configuration.tenants, [
    { name: 'a', keyDigests: ['d1', 'd2'], quota: { ratePerSecond: 12, burst: 30 } },
    { name: 'b', keyDigests: ['d3'], quota: undefined },
  ]);
  assert.is(configuration.tenantsLeftOut, malformed.length);
});

test('without the tenants field no key is required, with an empty list no key is accepted', () => {
  assert.is(configurationOf({})._unsafeUnwrap().tenants, undefined);
  assert.equal(configurationOf({ tenants: [] })._unsafeUnwrap().tenants, []);
});

test('a route without a staleness bound has a bound of zero', () => {
  const route = { ...ROUTE, route_type: 'primary', max_staleness_ms: undefined };
  const { routes } = configurationOf({ routes: [route] })._unsafeUnwrap();
  assert.is(routes[0]?.maxStalenessMs, 0);
});

test('malformed or unknown routes and services are skipped and counted', () => {
  const routes = [ROUTE, { ...ROUTE, route_type: 'weighted' }, { ...ROUTE, timeout_ms: '8' }, 4];
  const parsed = configurationOf({ routes, services: [{ name: 'svc' }, SERVICE] })._unsafeUnwrap();
  assert.equal([parsed.routes.length, parsed.routesLeftOut], [1, 3]);
  assert.equal([parsed.services.length, parsed.servicesLeftOut], [1, 1]);
});

test('a configuration without a version, or that is not JSON, is refused with the fields at fault', () => {
  const error = configurationOf({ version: 'v7', routes: {} })._unsafeUnwrapErr();
  assert.is(error.code, 'MS-PLATFORM-DOCUMENT');
  assert.equal(
    error.problems.map(({ field }) => field),
    ['version', 'routes'],
  );
  for (const text of ['', '{"version":', '[]', 'null']) {
    assert.is(parseConfiguration(text)._unsafeUnwrapErr().problems[0]?.field, '.', text);
  }
});

test('an instance entry is translated', () => {
  assert.equal(parseInstance('servers/i-7', JSON.stringify(ENTRY))._unsafeUnwrap(), {
    id: 'i-7',
    service: 'svc',
    host: '10.128.0.9',
    port: 8080,
    zone: 'zone-a',
    slots: 3,
    draining: false,
    role: 'replica',
  });
  const draining = { ...ENTRY, state: 'draining', database_role: 'primary' };
  const entry = parseInstance('servers/i-7', JSON.stringify(draining))._unsafeUnwrap();
  assert.equal([entry.draining, entry.role], [true, 'primary']);
});

test('a malformed instance entry is refused with the fields at fault', () => {
  const cases: [string, unknown][] = [
    ['address', '10.0.0.1'],
    ['address', '10.0.0.1:99999'],
    ['slots', -1],
    ['state', 'asleep'],
    ['database_role', undefined],
    ['zone', 5],
  ];
  for (const [field, value] of cases) {
    const text = JSON.stringify({ ...ENTRY, [field]: value });
    const error = parseInstance('servers/i-7', text)._unsafeUnwrapErr();
    assert.is(error.problems[0]?.field, field);
    assert.is(error.key, 'servers/i-7');
  }
  assert.ok(parseInstance('servers/', JSON.stringify(ENTRY)).isErr(), 'no id');
  assert.ok(parseInstance('my/i-7', JSON.stringify(ENTRY)).isErr(), 'not an instance key');
});

test.run();
