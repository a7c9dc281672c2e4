/**
 * The demonstration of the direct gateway: two gateways, a database group of three, callers of each kind of route, and the
 * primary killed. The last line on standard output is JSON with the figures; exit code 0 if no rule was broken.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { monotonicMs } from '../../standins/direct/monotonic.js';
import { DirectCluster, ROUTES } from '../../test/support/direct-cluster.js';
import type { ClientStatement } from '../../test/support/direct-history.js';
import { LoadClient } from '../../test/support/direct-load.js';
import { groupBy } from '../history/group-by.js';
import { type DirectFigures, figuresOf, longestWriteGapMs } from './direct-figures.js';

const GATEWAYS = 2;
const SERVICE = 'orders';
const PRIMARY = 'i-orders-1';
const BEFORE_MS = 3000;
const AFTER_MS = 4000;
const WRITE_SHARE = 0.4;
const MS_PER_SECOND = 1000;

const startedAt = monotonicMs();

function tell(text: string): void {
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

async function demonstrate(cluster: DirectCluster): Promise<void> {
  const clients = startLoad(cluster);
  tell(`${clients.length} clients write, read their own writes, and read what may be of some age`);
  await pause(BEFORE_MS);
  const killedAt = monotonicMs();
  await cluster.platform.set(`/instances/${PRIMARY}/crash`);
  tell(`the primary ${PRIMARY} crashed`);
  const primary = await cluster.platform.waitForNewPrimary(SERVICE, PRIMARY);
  tell(`${primary.id} leads term ${primary.term}`);
  await pause(AFTER_MS);
  await Promise.all(clients.map((client) => client.stop()));
  tell('all clients have ended; comparing what they saw with the log of the instances');
  const violations = await cluster.violations();
  const { statements } = cluster.recorder;
  tellFigures(statements);
  const failoverGapMs = Math.round(longestWriteGapMs(statements, killedAt));
  const summary = { statements: statements.length, failoverGapMs, violations: violations.length };
  for (const { rule, detail } of violations) tell(`${rule}: ${detail}`);
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  if (violations.length > 0) process.exitCode = 1;
}

function tellFigures(statements: readonly ClientStatement[]): void {
  console.log('\n  route                p50 ms   p99 ms     done');
  for (const [route, members] of groupBy(statements, ({ routeType }) => routeType)) {
    console.log(rowOf(route, figuresOf(members)));
  }
}

function rowOf(route: string, { p50Ms, p99Ms, doneShare }: DirectFigures): string {
  const percent = `${(doneShare * 100).toFixed(1)} %`;
  const cells = [p50Ms.toFixed(1).padStart(8), p99Ms.toFixed(1).padStart(9), percent.padStart(9)];
  return `  ${route.padEnd(18)} ${cells.join('')}`;
}

tell('starting the store, a database group of three, the promotion call, and two gateways');
const cluster = await DirectCluster.start({ gateways: GATEWAYS });
try {
  await demonstrate(cluster);
} finally {
  await cluster.stop();
}
