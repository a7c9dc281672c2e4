import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { parseSettings, readSettings } from '../../../platform/settings.js';

const BOUNDS = {
  ...{ grace_period_s: 6, drain_timeout_ms: 7000, contact_timeout_ms: 4000 },
  ...{ config_apply_ms: 3000, more: true },
};
const SETTINGS = {
  node_name: 'frontend-1',
  zone: 'zone-a',
  listen_addresses: { frontend: '10.1.0.8:8784', readiness: '10.1.0.8:8785', control_plane: '' },
  bounds: BOUNDS,
  platform: { address: '10.200.1.7:8783', form: 'kv', min_ttl_ms: 1000 },
  cloud_api: { address: '10.200.0.160:8783', duties: ['promotion'] },
  data_directory: null,
};

function settingsOf(change: object) {
  return parseSettings(JSON.stringify({ ...SETTINGS, ...change }));
}

function fieldsOf(change: object): string[] {
  return settingsOf(change)
    ._unsafeUnwrapErr()
    .problems.map(({ field }) => field);
}

test('the settings file is translated, and unknown fields are ignored', () => {
  assert.equal(settingsOf({})._unsafeUnwrap(), {
    nodeName: 'frontend-1',
    zone: 'zone-a',
    callers: { host: '10.1.0.8', port: 8784 },
    readiness: { host: '10.1.0.8', port: 8785 },
    metrics: undefined,
    peers: undefined,
    peer: undefined,
    store: { host: '10.200.1.7', port: 8783, minimumLeaseMs: 1000 },
    promotion: { host: '10.200.0.160', port: 8783 },
    linkMbps: undefined,
    registrationExpiryMs: undefined,
    isFirstStart: false,
    gracePeriodMs: 6000,
    drainTimeoutMs: 7000,
    contactTimeoutMs: 4000,
    revocationMs: undefined,
    quotas: undefined,
  });
});

test('a registration expires after three heartbeats', () => {
  const { registrationExpiryMs } = settingsOf({ heartbeat_interval_ms: 1200 })._unsafeUnwrap();
  assert.is(registrationExpiryMs, 3600);
  assert.equal(fieldsOf({ heartbeat_interval_ms: 'soon' }), ['heartbeat_interval_ms']);
});

test('the revocation bound applies only if revocation is strict, and quotas only if the contract lists them', () => {
  const bounds = { grace_period_s: 6, drain_timeout_ms: 7000, contact_timeout_ms: 4000 };
  const strict = { ...bounds, strict_revocation: true, revoke_timeout_ms: 5000, quota_slack: 20 };
  const { revocationMs, quotas } = settingsOf({
    bounds: strict,
    contracts: ['tenants', 'quota'],
  })._unsafeUnwrap();
  assert.is(revocationMs, 5000);
  assert.equal(quotas, { slack: 20 });
  const lax = { ...strict, strict_revocation: false };
  assert.is(settingsOf({ bounds: lax })._unsafeUnwrap().revocationMs, undefined);
  assert.equal(fieldsOf({ bounds: { ...bounds, strict_revocation: true } }), [
    'bounds.revoke_timeout_ms',
  ]);
});

test('the link bandwidth is used if it is given', () => {
  assert.is(settingsOf({ limits: { link_mbps: 7.5 } })._unsafeUnwrap().linkMbps, 7.5);
  assert.equal(fieldsOf({ limits: { link_mbps: 'fast' } }), ['limits.link_mbps']);
});

test('metrics are served at the first of the internal ports, and owners listen for peers at the last', () => {
  const ports = { ip_address: '10.1.0.8', internal_port_range: [7440, 7455] };
  const { metrics, peer } = settingsOf(ports)._unsafeUnwrap();
  assert.equal(metrics, { host: '10.1.0.8', port: 7440 });
  assert.equal(peer, { host: '10.1.0.8', port: 7455 });
});

test('the flag of the first start of the whole system is true, false, or absent', () => {
  assert.is(settingsOf({ bootstrap: true })._unsafeUnwrap().isFirstStart, true);
  assert.is(settingsOf({ bootstrap: false })._unsafeUnwrap().isFirstStart, false);
  assert.equal(fieldsOf({ bootstrap: 'yes' }), ['bootstrap']);
});

test('with a single internal port there is no listener for peers', () => {
  const ports = { ip_address: '10.1.0.8', internal_port_range: [7440, 7440] };
  assert.is(settingsOf(ports)._unsafeUnwrap().peer, undefined);
});

test('with three or more internal ports, links for snapshots are accepted at the second', () => {
  const ports = { ip_address: '10.1.0.8', internal_port_range: [7440, 7442] };
  const { peer, peers } = settingsOf(ports)._unsafeUnwrap();
  assert.equal(peers?.own, { host: '10.1.0.8', port: 7441 });
  assert.equal(peer, { host: '10.1.0.8', port: 7442 });
});

test('with two internal ports, the second accepts links to owners, and there are no snapshots', () => {
  const ports = { ip_address: '10.1.0.8', internal_port_range: [7440, 7441] };
  const { peer, peers } = settingsOf(ports)._unsafeUnwrap();
  assert.equal(peer, { host: '10.1.0.8', port: 7441 });
  assert.is(peers, undefined);
});

test('links for snapshots are not accepted at the address for links to owners', () => {
  const change = {
    ...{ ip_address: '10.1.0.8', internal_port_range: [7440, 7455], serves: ['control_plane'] },
    listen_addresses: { ...SETTINGS.listen_addresses, control_plane: '10.1.0.8:7455' },
  };
  const { peer, peers } = settingsOf(change)._unsafeUnwrap();
  assert.equal(peer, { host: '10.1.0.8', port: 7455 });
  assert.is(peers, undefined);
});

test('links of other nodes are accepted if the role serves them, and malformed seed addresses are skipped', () => {
  const change = {
    serves: ['frontend', 'control_plane'],
    listen_addresses: { ...SETTINGS.listen_addresses, control_plane: '10.1.0.8:8782' },
    seed_nodes: ['10.1.0.8:8782', 'nowhere', 7, '10.2.0.6:8782'],
    zones: { 'zone-b': 'region', 'zone-a': 'region' },
  };
  assert.equal(settingsOf(change)._unsafeUnwrap().peers, {
    own: { host: '10.1.0.8', port: 8782 },
    seeds: [
      { host: '10.1.0.8', port: 8782 },
      { host: '10.2.0.6', port: 8782 },
    ],
    deployment: '["zone-a","zone-b"]',
  });
  assert.is(settingsOf({ ...change, serves: ['frontend'] })._unsafeUnwrap().peers, undefined);
});

test('without the promotion duty there is no promotion call', () => {
  assert.is(settingsOf({ cloud_api: null })._unsafeUnwrap().promotion, undefined);
  const other = { address: '10.200.0.160:8783', duties: ['other'] };
  assert.is(settingsOf({ cloud_api: other })._unsafeUnwrap().promotion, undefined);
});

test('each problem names its field', () => {
  assert.equal(fieldsOf({ node_name: 7 }), ['node_name']);
  assert.equal(fieldsOf({ listen_addresses: { frontend: '10.1.0.8:8784' } }), [
    'listen_addresses.readiness',
  ]);
  assert.equal(fieldsOf({ bounds: { ...BOUNDS, grace_period_s: '6', drain_timeout_ms: null } }), [
    'bounds.grace_period_s',
    'bounds.drain_timeout_ms',
  ]);
  assert.equal(fieldsOf({ platform: undefined }), ['platform']);
  const error = parseSettings('{')._unsafeUnwrapErr();
  assert.is(error.code, 'MS-PLATFORM-SETTINGS');
  assert.is(error.problems[0]?.field, '.');
});

test('the error for a missing file names its path', () => {
  const error = readSettings('/nowhere/boot.json')._unsafeUnwrapErr();
  assert.match(error.message, '/nowhere/boot.json');
});

test.run();
