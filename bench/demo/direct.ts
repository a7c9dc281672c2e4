/**
 * The demo of the direct gateway: two gateways and a group of three instances serve callers of each type
 * of route while the primary is killed. The last line on standard output is JSON with the figures; the
 * exit code is 0 if no rule was violated.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { monotonicMs } from '../../standins/direct/monotonic.js';
import { DirectCluster, ROUTES } from '../../test/support/direct-cluster.js';
import type { ClientStatement } from '../../test/support/direct-history.js';
import { LoadClient } from '../../test/support/direct-load.js';
import { groupBy } from '../history/group-by.js';
import { computeFigures, type DirectFigures, longestWriteGapMs } from './direct-figures.js';

const GATEWAY_COUNT = 2;
const SERVICE = 'orders';
const PRIMARY = 'i-orders-1';
const LOAD_BEFORE_CRASH_MS = 3000;
const LOAD_AFTER_FAILOVER_MS = 4000;
const WRITE_SHARE = 0.4;
const MS_PER_SECOND = 1000;

const startedAt = monotonicMs();

function writeLine(text: string): void {
  const seconds = ((monotonicMs() - startedAt) / MS_PER_SECOND).toFixed(1);
  console.log(`${seconds.padStart(6)} s  ${text}`);
}

function startLoad(cluster: DirectCluster): LoadClient[] {
  return cluster.gateways.flatMap((_, gateway) =>
    ROUTES.map(({ database }, index) => {
      const writes = database === 'lookup' ? 0 : WRITE_SHARE;
      const seed = 1 + gateway * ROUTES.length + index;
      return new LoadClient(cluster, { database, gateway, seed, writes, usesValues: true });
    }),
  );
}

async function runDemo(cluster: DirectCluster): Promise<void> {
  const clients = startLoad(cluster);
  writeLine(
    `${clients.length} clients write, read their own writes, and read data that may be stale`,
  );
  await pause(LOAD_BEFORE_CRASH_MS);
  const killedAt = monotonicMs();
  await cluster.platform.set(`/instances/${PRIMARY}/crash`);
  writeLine(`the primary ${PRIMARY} crashed`);
  const primary = await cluster.platform.waitForNewPrimary(SERVICE, PRIMARY);
  writeLine(`${primary.id} is the primary of term ${primary.term}`);
  await pause(LOAD_AFTER_FAILOVER_MS);
  await Promise.all(clients.map((client) => client.stop()));
  writeLine('all clients have ended; checking their results against the log of the instances');
  const violations = await cluster.violations();
  const { statements } = cluster.recorder;
  writeFigures(statements);
  const failoverGapMs = Math.round(longestWriteGapMs(statements, killedAt));
  const summary = { statements: statements.length, failoverGapMs, violations: violations.length };
  for (const { rule, detail } of violations) writeLine(`${rule}: ${detail}`);
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  if (violations.length > 0) process.exitCode = 1;
}

function writeFigures(statements: readonly ClientStatement[]): void {
  console.log('\n  route                p50 ms   p99 ms     done');
  for (const [route, members] of groupBy(statements, ({ routeType }) => routeType)) {
    console.log(formatRow(route, computeFigures(members)));
  }
}

function formatRow(route: string, { p50Ms, p99Ms, doneFraction }: DirectFigures): string {
  const percent = `${(doneFraction * 100).toFixed(1)} %`;
  const cells = [p50Ms.toFixed(1).padStart(8), p99Ms.toFixed(1).padStart(9), percent.padStart(9)];
  return `  ${route.padEnd(18)} ${cells.join('')}`;
}

writeLine('starting the store, a database group of three, the promotion call, and two gateways');
const cluster = await DirectCluster.start({ gateways: GATEWAY_COUNT });
try {
  await runDemo(cluster);
} finally {
  await cluster.stop();
}
