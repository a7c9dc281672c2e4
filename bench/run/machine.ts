/** Figures of the machine that a run was made on. */
import { availableParallelism, cpus, loadavg, totalmem } from 'node:os';

export interface MachineFigures {
  readonly cpu: string;
  readonly cores: number;
  readonly memoryGiB: number;
  /** Runnable processes on average over the last minute, before and after the run. */
  readonly loadBefore: number;
  readonly loadAfter: number;
  readonly node: string;
}

const GIBIBYTE = 1024 ** 3;

/** Call it before the run; the result is called after it. */
export function observeMachine(): () => MachineFigures {
  const [loadBefore = 0] = loadavg();
  return () => ({
    cpu: cpus()[0]?.model ?? 'unknown',
    cores: availableParallelism(),
    memoryGiB: Math.round(totalmem() / GIBIBYTE),
    loadBefore,
    loadAfter: loadavg()[0] ?? 0,
    node: process.version,
  });
}
