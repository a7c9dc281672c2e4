/**
 * `npm run scale`: runs clusters of hollow nodes in virtual time, one size after the other. A hollow node runs the real
 * control plane over a simulated network and has no data plane. See docs/design/scale-run.md.
 */
import { writeFileSync } from 'node:fs';
import { loadHash64 } from '../src/core/ownership/hash.js';
import { measureComponents } from './components/run.js';
import { ScaleUsageError } from './errors.js';
import { parseScaleArguments, SCALE_HELP, type ScaleOptions } from './options.js';
import { measureRealProcesses } from './real-processes.js';
import { type SizeFigures, SizeRun } from './scale-run.js';

async function runScale(options: ScaleOptions): Promise<number> {
  const { seed, durationMs, tenants, faults, listReaders } = options;
  const hash = await loadHash64();
  const log = (line: string): void => console.log(line);
  const sizes: SizeFigures[] = [];
  for (const nodes of options.sizes) {
    sizes.push(
      new SizeRun({ nodes, seed, durationMs, tenants, faults, listReaders, hash, log }).run(),
    );
  }
  const components = options.components ? measureComponents(seed, hash) : undefined;
  const real =
    options.realProxies === 0
      ? undefined
      : await measureRealProcesses(options.realProxies, durationMs);
  const report = { seed, durationSeconds: durationMs / 1000, tenants, sizes, components, real };
  if (options.jsonFile !== undefined) {
    writeFileSync(options.jsonFile, `${JSON.stringify(report, undefined, 2)}\n`);
  }
  return sizes.every(hasPassed) ? 0 : 1;
}

/** True if no node reverted to an older configuration and every phase settled. */
function hasPassed({ reverts, settled, faults }: SizeFigures): boolean {
  return reverts === 0 && settled && faults.every((fault) => fault.settled);
}

try {
  process.exitCode = await runScale(parseScaleArguments(process.argv.slice(2)));
} catch (error) {
  if (!(error instanceof ScaleUsageError)) throw error;
  console.error(`${error.message}\n\n${SCALE_HELP}`);
  process.exitCode = 2;
}
