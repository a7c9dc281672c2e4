/** Requests that fail in a run with faults are explained from the logs of real gateways alone. */
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

const OLD_PRIMARY = 'i-orders-1';
/** The outcome that `explain` reports, by the platform's error code. */
const OUTCOMES: Readonly<Record<string, string>> = {
  ...{ BUSY: 'busy', INDOUBT: 'in-doubt', ABORTED: 'aborted', TIMEOUT: 'timeout' },
  ...{ FAILED: 'failed', LAGGING: 'lagging', READONLY: 'read-only' },
};
const ROLLED_BACK = 'the transaction was rolled back';

let cluster: DirectCluster;
let clients: DirectLoad;

test.before(async () => {
  // The whole output is needed, since the tests read the log of the run from it.
  cluster = await DirectCluster.start({
    gateways: 2,
    maxOutputCharacters: Number.POSITIVE_INFINITY,
  });
  clients = new DirectLoad(cluster);
});

test.after(() => cluster.stop());

function readLogLines(index: number): readonly LogLine[] {
  return readLog(cluster.gateway(index).output()).lines;
}

test('each failed request is explained with its outcome and a cause', async () => {
  const loads = [0, 1].flatMap((gateway) => [
    clients.add({ database: 'intake', gateway, seed: 1 + gateway }),
    clients.add({ database: 'assign', gateway, seed: 5 + gateway }),
  ]);
  await Promise.all(loads.map((client) => client.waitForWrites(5)));
  await cluster.platform.set(`/instances/${OLD_PRIMARY}/dark`);
  await cluster.platform.waitForNewPrimary('orders', OLD_PRIMARY);
  await Promise.all(loads.map((client) => client.waitForWrites(5)));
  await Promise.all(loads.map((client) => client.stop()));
  const failed = cluster.recorder.statements.filter(
    ({ kind, error }) => kind !== 'other' && error !== undefined && error !== 'MALFORMED',
  );
  assert.ok(failed.length > 0, 'the fault made no request fail');
  const lines = [...readLogLines(0), ...readLogLines(1)];
  for (const { id, error = '' } of failed) {
    const explanation = explain(id, lines);
    assert.is(explanation?.outcome, OUTCOMES[error], `${id} ${error}`);
    assert.ok(explanation !== undefined && explanation.cause.length > 0, id);
    const isExplained = explanation.steps.length > 0 || explanation.cause.includes(ROLLED_BACK);
    assert.ok(isExplained, `${id}: ${explanation.cause}`);
  }
  // The injected fault must appear among the causes.
  const causes = failed.map(({ id }) => explain(id, lines)?.cause ?? '');
  assert.ok(causes.some((cause) => cause.includes(OLD_PRIMARY) || cause.includes('primary')));
});

test('explain reads log files, and exits with 3 for an unknown request and 2 for a missing file', async () => {
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
  const result = await runCommand(['explain', failed.id, ...files]);
  assert.is(result.exitCode, 0, result.stderr);
  assert.match(result.stdout, new RegExp(`^${failed.id} at frontend-[12]: .*\ncause: .+`));
  const json = (await runCommand(['explain', failed.id, ...files, '--json'])).json;
  assert.is((json as { request?: string } | undefined)?.request, failed.id);
  assert.is((await runCommand(['explain', 'nobody', ...files])).exitCode, 3);
  assert.is((await runCommand(['explain', 'nobody', join(folder, 'absent')])).exitCode, 2);
  rmSync(folder, { recursive: true });
});

test('a gateway logs its start with its settings, and its stop', async () => {
  const gateway = cluster.gateway(1);
  gateway.process.kill('SIGTERM');
  await gateway.ended;
  await until('the log line of the stop', () =>
    readLogLines(1).some(({ event }) => event === 'stopping'),
  );
  const start = readLogLines(1).find(({ event }) => event === 'starting');
  assert.is((start?.fields.settings as { zone?: string } | undefined)?.zone, 'zone-a');
});

test.run();
