/** Output of the demo for people: a line for each event, and tables at the end. */
import type { FaultRecord } from '../faults/injector.js';
import type { RequestRecord } from '../history/model.js';
import type { RunFigures } from '../load/figures.js';

const MS_PER_SECOND = 1_000;
const PERCENT = 100;
const KIND_WIDTH = 12;
const NUMBER_WIDTH = 9;

export class DemoOutput {
  readonly #startedAt = performance.now();

  /** Writes a line with the time since the start. */
  writeLine(text: string): void {
    const seconds = ((performance.now() - this.#startedAt) / MS_PER_SECOND).toFixed(1);
    process.stdout.write(`${seconds.padStart(5)} s  ${text}\n`);
  }

  /** Writes the requests by kind, with the latency from each one's intended start. */
  writeFigures(figures: RunFigures): void {
    const header = ['kind', 'p50 ms', 'p99 ms', 'served'];
    process.stdout.write(`\n${figures.deployment}: ${figures.requests} requests\n`);
    process.stdout.write(formatRow(header));
    for (const [kind, latency] of Object.entries(figures.latencyMs.byKind)) {
      const served = `${((figures.serviceByKind[kind] ?? 0) * PERCENT).toFixed(1)} %`;
      process.stdout.write(
        formatRow([kind, latency.p50.toFixed(1), latency.p99.toFixed(1), served]),
      );
    }
    const { done, notRun, unknown, failed } = figures.outcomes;
    process.stdout.write(
      `  outcomes: done ${done}, not run ${notRun}, unknown ${unknown}, failed ${failed}\n`,
    );
  }

  writeFault({ name, target }: FaultRecord): void {
    this.writeLine(`fault ${name}: ${target ?? 'no target'}`);
  }
}

/** Counts how often a session moved to another proxy. */
export function countProxyChanges(requests: readonly RequestRecord[]): number {
  const lastProxy = new Map<string, string>();
  let proxyChanges = 0;
  for (const { sessionId, proxy } of [...requests].sort((a, b) => a.sentAt - b.sentAt)) {
    const earlier = lastProxy.get(sessionId);
    if (earlier !== undefined && earlier !== proxy) proxyChanges += 1;
    lastProxy.set(sessionId, proxy);
  }
  return proxyChanges;
}

function formatRow([first = '', ...rest]: readonly string[]): string {
  const cells = rest.map((cell) => cell.padStart(NUMBER_WIDTH));
  return `  ${first.padEnd(KIND_WIDTH)}${cells.join('')}\n`;
}
