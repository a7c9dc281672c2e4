/** Failed requests of a run with faults are explained from the logs of real gateways alone. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { explain } from '../../../src/observability/explanation.js';
import { type LogLine, readLog } from '../../../src/observability/log-reader.js';
import { runCommand } from '../../support/command-line.js';
import { DirectCluster } from '../../support/direct-cluster.js';
import { DirectLoad } from '../../support/direct-load.js';
import { until } from '../../support/until.js';

const OLD = 'i-orders-1';
/** The platform's words for outcomes, and the product's own. */
const OUTCOMES: Readonly<Record<string, string>> = {
  ...{ BUSY: 'busy', INDOUBT: 'in-doubt', ABORTED: 'aborted', TIMEOUT: 'timeout' },
  ...{ FAILED: 'failed', LAGGING: 'lagging', READONLY: 'read-only' },
};
const SPENT = 'the transaction was rolled back';

let cluster: DirectCluster;
let clients: DirectLoad;

test.before(async () => {
  // Output of a whole run is kept.
  cluster = await DirectCluster.start({
    gateways: 2,
    maxOutputCharacters: Number.POSITIVE_INFINITY,
  });
  clients = new DirectLoad(cluster);
});

test.after(() => cluster.stop());

function linesOf(index: number): readonly LogLine[] {
  return readLog(cluster.gateway(index).output()).lines;
}

test('each failed request has lines that name its outcome and a cause', async () => {
  const loads = [0, 1].flatMap((gateway) => [
    clients.add({ database: 'intake', gateway, seed: 1 + gateway }),
    clients.add({ database: 'assign', gateway, seed: 5 + gateway }),
  ]);
  await Promise.all(loads.map((client) => client.waitForWrites(5)));
  await cluster.platform.set(`/instances/${OLD}/dark`);
  await cluster.platform.waitForNewPrimary('orders', OLD);
  await Promise.all(loads.map((client) => client.waitForWrites(5)));
  await Promise.all(loads.map((client) => client.stop()));
  const failed = cluster.recorder.statements.filter(
    ({ kind, error }) => kind !== 'other' && error !== undefined && error !== 'MALFORMED',
  );
  assert.ok(failed.length > 0, 'the fault was felt');
  const lines = [...linesOf(0), ...linesOf(1)];
  for (const { id, error = '' } of failed) {
    const story = explain(id, lines);
    assert.is(story?.outcome, OUTCOMES[error], `${id} ${error}`);
    assert.ok(story !== undefined && story.cause.length > 0, id);
    const isTold = story.steps.length > 0 || story.cause.includes(SPENT);
    assert.ok(isTold, `${id}: ${story.cause}`);
  }
  // The fault that was injected is what is named.
  const named = failed.map(({ id }) => explain(id, lines)?.cause ?? '');
  assert.ok(named.some((cause) => cause.includes(OLD) || cause.includes('primary')));
});

test('the command tells the story from files, and exits with 3 where nothing is known', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'meadowstack-explain-'));
  const files = cluster.gateways.map((gateway, index) => {
    const file = join(folder, `${index}.log`);
    writeFileSync(file, gateway.output());
    return file;
  });
  const failed = cluster.recorder.statements.find(
    ({ kind, error }) => kind !== 'other' && error !== undefined && error !== 'MALFORMED',
  );
  assert.ok(failed);
  const told = await runCommand(['explain', failed.id, ...files]);
  assert.is(told.exitCode, 0, told.stderr);
  assert.match(told.stdout, new RegExp(`^${failed.id} at frontend-[12]: .*\ncause: .+`));
  const json = (await runCommand(['explain', failed.id, ...files, '--json'])).json;
  assert.is((json as { request?: string } | undefined)?.request, failed.id);
  assert.is((await runCommand(['explain', 'nobody', ...files])).exitCode, 3);
  assert.is((await runCommand(['explain', 'nobody', join(folder, 'absent')])).exitCode, 2);
  rmSync(folder, { recursive: true });
});

test('a gateway says when it starts, with its settings, and when it stops', async () => {
  const gateway = cluster.gateway(1);
  gateway.process.kill('SIGTERM');
  await gateway.ended;
  await until('its last words', () => linesOf(1).some(({ event }) => event === 'stopping'));
  const start = linesOf(1).find(({ event }) => event === 'starting');
  assert.is((start?.fields.settings as { zone?: string } | undefined)?.zone, 'zone-a');
});

test.run();
