import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { formatProblem } from '../../src/core/configuration/document.js';
import { loadSettings, type Settings, type SettingsSources } from '../../src/node/settings.js';

const directory = mkdtempSync(join(tmpdir(), 'meadowstack-settings-'));
const file = join(directory, 'settings.yaml');
const secretHex = 'ab'.repeat(32);

test.after(() => rmSync(directory, { recursive: true }));

function load(yaml: string, rest: Partial<SettingsSources> = {}): Settings {
  writeFileSync(file, yaml);
  return loadSettings({ file, env: {}, flags: {}, ...rest })._unsafeUnwrap();
}

function problems(yaml: string, rest: Partial<SettingsSources> = {}): string[] {
  writeFileSync(file, yaml);
  const error = loadSettings({ file, env: {}, flags: {}, ...rest })._unsafeUnwrapErr();
  return error.problems.map(formatProblem).map((line) => line.replace(file, 'F'));
}

test('defaults give complete settings', () => {
  const settings = loadSettings({ file: undefined, env: {}, flags: {} })._unsafeUnwrap();
  assert.is(settings.callers.port, 6432);
  assert.is(settings.ownersPerGroup, 2);
  assert.is(settings.confirmation, 'received');
  assert.equal(settings.session.keys, []);
});

test('flags override the environment, which overrides the file', () => {
  const yaml = 'callers: { host: 127.0.0.2, port: 1 }\nzone: a\nnodeId: from-file\n';
  const settings = load(yaml, {
    env: { MEADOWSTACK_CALLERS_PORT: '2', MEADOWSTACK_ZONE: 'b', MEADOWSTACK_NODE_ID: '' },
    flags: { 'callers-port': 3 },
  });
  assert.equal(settings.callers, { host: '127.0.0.2', port: 3 });
  assert.is(settings.zone, 'b');
  assert.is(settings.nodeId, 'from-file');
});

test('lists, keys and roles can be given as text', () => {
  const settings = load('', {
    env: {
      MEADOWSTACK_STORE_ENDPOINTS: 'http://127.0.0.1:1, http://127.0.0.1:2',
      MEADOWSTACK_SESSION_KEYS: `k2:${secretHex},k1:${secretHex}`,
      MEADOWSTACK_BACKEND_ROLES: 'bureau=pass=word',
    },
  });
  assert.is(settings.store.endpoints.length, 2);
  assert.is(settings.session.keys[0]?.id, 'k2');
  assert.equal(settings.backend.roles, [{ role: 'bureau', password: 'pass=word' }]);
});

test('the problem of an invalid value names file, line, column, field and expected value', () => {
  assert.equal(problems('zone: a\ncallers:\n  port: many\n'), [
    'F:3:3: callers.port: expected number, received string',
  ]);
  assert.equal(problems('zone: a\ncallers:\n  prot: 1\n'), [
    'F:3:3: callers.prot: expected no such field',
  ]);
  assert.match(
    problems('store:\n  endpoints: [nowhere]\n')[0] ?? '',
    /^F:2:15: store.endpoints\[0\]/,
  );
  assert.match(problems('a: [\n')[0] ?? '', /^F:\d+:\d+: expected valid YAML/);
});

test('the problem of an invalid value from a variable or flag names its source', () => {
  assert.match(
    problems('', { env: { MEADOWSTACK_PEER_PORT: '70000' } })[0] ?? '',
    /^MEADOWSTACK_PEER_PORT: peer.port: expected number to be <=65535/,
  );
  assert.match(
    problems('', { flags: { 'log-format': 'xml' } })[0] ?? '',
    /^--log-format: log.format: expected one of "json"\|"text"/,
  );
});

test('an invalid secret is reported without its text', () => {
  const [line] = problems('session:\n  keys:\n    - { id: k, secretHex: topsecret }\n');
  assert.match(line ?? '', /F:3:\d+: session.keys\[0\].secretHex: expected 32 to 64 bytes/);
  assert.not.match(line ?? '', /topsecret/);
});

test('a missing file is reported as a settings error', () => {
  const missing = loadSettings({ file: join(directory, 'none'), env: {}, flags: {} });
  assert.is(missing._unsafeUnwrapErr().code, 'MS-SETTINGS');
});

test.run();
