/** Properties and load of the machine on which a run took place. */
import { availableParallelism, cpus, loadavg, totalmem } from 'node:os';

export interface MachineFigures {
  readonly cpu: string;
  readonly cores: number;
  readonly memoryGiB: number;
  /** One-minute load averages before and after the run. */
  readonly loadBefore: number;
  readonly loadAfter: number;
  readonly node: string;
}

const GIBIBYTE_BYTES = 1024 ** 3;

/** To be called before the run; call the result after the run. */
export function observeMachine(): () => MachineFigures {
  const [loadBefore = 0] = loadavg();
  return () => ({
    cpu: cpus()[0]?.model ?? 'unknown',
    cores: availableParallelism(),
    memoryGiB: Math.round(totalmem() / GIBIBYTE_BYTES),
    loadBefore,
    loadAfter: loadavg()[0] ?? 0,
    node: process.version,
  });
}
