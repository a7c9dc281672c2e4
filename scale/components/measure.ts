/** Measures processor time of an operation and memory of a value. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Bytes of the heap and of buffers after a full garbage collection. */
export function heapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect: unknown = runInNewContext('gc');
  if (typeof collect === 'function') collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** Mean processor time of `count` runs, in ms. */
export function meanMs(count: number, run: (index: number) => void): number {
  const startedAt = process.cpuUsage();
  for (let index = 0; index < count; index += 1) run(index);
  const { user, system } = process.cpuUsage(startedAt);
  return (user + system) / 1000 / count;
}

/** Returns what `build` returns, and the bytes that it retains. */
export function measureMemory<Built>(build: () => Built): {
  readonly built: Built;
  readonly bytes: number;
} {
  const before = heapBytes();
  const built = build();
  return { built, bytes: Math.max(0, heapBytes() - before) };
}
