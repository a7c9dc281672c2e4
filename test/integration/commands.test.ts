import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { type RunningStore, startStore } from '../../bench/harness/platform.js';
import { type CommandResult, runCommand } from '../support/command-line.js';
import { TEMPLATE_YAML, tenantYaml } from '../support/declarations.js';

const test = suite('commands');
const directory = mkdtempSync(join(tmpdir(), 'meadowstack-commands-'));
const publishReport = z.object({
  publishId: z.string(),
  revision: z.number(),
  changed: z.boolean(),
  alreadyApplied: z.boolean(),
});
let store: RunningStore;

test.before(async () => {
  store = await startStore();
});

test.after(async () => {
  await store.stop();
  rmSync(directory, { recursive: true });
});

function file(name: string, text: string): string {
  const path = join(directory, name);
  writeFileSync(path, text);
  return path;
}

/** Runs a command against the test's store. */
function runOnStore(...args: string[]): Promise<CommandResult> {
  return runCommand([...args, '--store', `http://${store.host}:${store.port}`]);
}

function parseReport(result: CommandResult): z.output<typeof publishReport> {
  assert.is(result.exitCode, 0, `${result.stderr}${result.stdout}`);
  return publishReport.parse(result.json);
}

test('publishes several files at once, shows, lists, rolls back and keeps a history', async () => {
  const template = file('template.yaml', TEMPLATE_YAML);
  const tenants = file('tenants.yaml', `${tenantYaml('a', 10)}---\n${tenantYaml('b', 10)}`);
  const dry = await runOnStore('tenant', 'publish', template, tenants, '--dry-run');
  assert.match(dry.stdout, /put tenant\/a version 1\n.*nothing was published/s);
  assert.match((await runOnStore('tenant', 'list')).stdout, /^NAME +VERSION +REVISION[^\n]*\n$/);

  const first = parseReport(await runOnStore('tenant', 'publish', template, tenants, '--json'));
  assert.is(first.changed, true);
  const again = parseReport(await runOnStore('tenant', 'publish', template, tenants, '--json'));
  assert.is(again.changed, false);
  assert.match((await runOnStore('tenant', 'list')).stdout, /^b +1 +\d+ +standard +b +true$/m);
  assert.match((await runOnStore('template', 'show', 'standard')).stdout, /maximum: 5000/);

  const changed = file('a.yaml', tenantYaml('a', 20));
  const second = parseReport(
    await runOnStore('tenant', 'publish', changed, '--json', '-m', 'more'),
  );
  assert.ok(second.revision > first.revision);
  const rollback = await runOnStore('config', 'rollback', 'tenant/a', '--to', '1', '--json');
  assert.ok(parseReport(rollback).revision > second.revision);
  assert.match((await runOnStore('tenant', 'show', 'a')).stdout, /version 3.*connections: 10/s);
  const history = await runOnStore('config', 'history', 'tenant/a');
  assert.is(history.stdout.trim().split('\n').length, 4);
  assert.match((await runOnStore('config', 'history')).stdout, /more\n.*rollback to version 1/s);
});

test('a verifier is computed from the password, and is shown only on request', async () => {
  const text = tenantYaml('sealed').replace(/scramVerifier.*\n/, '');
  const path = file('sealed.yaml', text);
  const env = { SEALED_PASSWORD: 'pencil' };
  const url = `http://${store.host}:${store.port}`;
  const publish = ['tenant', 'publish', path, '--store', url, '--json'];
  assert.is((await runCommand(publish)).exitCode, 4);
  const withPassword = [...publish, '--password-env', 'SEALED_PASSWORD'];
  assert.is(parseReport(await runCommand(withPassword, env)).changed, true);
  assert.is(
    parseReport(await runCommand(withPassword, env)).changed,
    false,
    'the verifier is kept',
  );
  assert.is((await runCommand(withPassword)).exitCode, 2);
  assert.not.match((await runOnStore('tenant', 'show', 'sealed')).stdout, /4096:[A-Za-z0-9+/]/);
  const shown = await runOnStore('tenant', 'show', 'sealed', '--show-verifier');
  assert.match(shown.stdout, /SCRAM-SHA-256\$4096:[A-Za-z0-9+/]/);
});

test('usage, conflict, invalid declaration and unavailable store have different exit codes', async () => {
  const path = file('conflict.yaml', tenantYaml('a', 33));
  const conflict = await runOnStore('tenant', 'publish', path, '--expect', 'tenant/a=1', '--json');
  assert.is(conflict.exitCode, 3);
  assert.match(conflict.stdout, /"MS-PUBLISH-CONFLICT".*"current".*"proposed"/s);
  const invalid = await runOnStore('tenant', 'publish', file('bad.yaml', tenantYaml('a', 101)));
  assert.is(invalid.exitCode, 4);
  assert.match(invalid.stderr, /bad.yaml:8:3: parameters.connections: expected number to be <=100/);
  assert.is((await runOnStore('tenant', 'publish', join(directory, 'none.yaml'))).exitCode, 2);
  assert.is((await runOnStore('tenant', 'publish')).exitCode, 2);
  assert.is((await runOnStore('tenant', 'show', 'nobody')).exitCode, 2);
  assert.is((await runOnStore('template', 'remove', 'standard')).exitCode, 4);
  const nowhere = ['tenant', 'list', '--store', 'http://127.0.0.1:1'];
  assert.is((await runCommand(nowhere)).exitCode, 5);
});

test('a publish whose response is lost is applied once and reported with its revision', async () => {
  const path = file('lost.yaml', tenantYaml('lost', 5));
  await store.setFaults({ loseNextAnswers: 1 });
  const report = parseReport(
    await runOnStore('tenant', 'publish', path, '--json', '--publish-id', 'lost-1'),
  );
  assert.is(report.alreadyApplied, true);
  const repeated = await runOnStore('tenant', 'publish', path, '--json', '--publish-id', 'lost-1');
  assert.is(parseReport(repeated).revision, report.revision);
  assert.is(
    (await runOnStore('config', 'history', 'tenant/lost')).stdout.trim().split('\n').length,
    2,
  );
});

test('config validate works without a store', async () => {
  const template = file('template.yaml', TEMPLATE_YAML);
  const good = await runCommand(['config', 'validate', template, file('t.yaml', tenantYaml('t'))]);
  assert.is(good.exitCode, 0);
  const alone = await runCommand(['config', 'validate', file('t.yaml', tenantYaml('t'))]);
  assert.is(alone.exitCode, 4);
  assert.match(alone.stderr, /t.yaml:3:1: template: expected a template that is declared/);
});

const NODE_STATUS = {
  nodeId: 'n1',
  zone: 'a',
  state: 'serving',
  configuration: { revision: 12, lagMs: 0, source: 'watch', relay: true },
  groups: [{ group: 'orders', primary: 'orders-1', timeline: 3, queued: 0, running: 2 }],
};

async function startAdmin(): Promise<{ server: Server; address: string; asked: string[] }> {
  const asked: string[] = [];
  const server = createServer((request, response) => {
    asked.push(`${request.method} ${request.url}`);
    response.end(JSON.stringify(NODE_STATUS));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return { server, address: `127.0.0.1:${port}`, asked };
}

test('status and drain send requests to admin ports', async () => {
  const { server, address, asked } = await startAdmin();
  const status = await runCommand(['status', '--admin', address]);
  assert.is(status.exitCode, 0, status.stderr);
  assert.match(status.stdout, /n1 +a +serving +12 +0 +0 +watch +yes/);
  assert.match(status.stdout, /orders +n1 +orders-1 +3 +0 +2/);
  const partial = await runCommand(['status', '--admin', `${address},127.0.0.1:1`, '--json']);
  assert.is(partial.exitCode, 1);
  assert.match(partial.stdout, /"inForceEverywhere": false/);
  assert.is((await runCommand(['drain', '--admin', address])).exitCode, 0);
  assert.equal(asked, ['GET /status', 'GET /status', 'POST /drain']);
  server.close();
});

test.run();
