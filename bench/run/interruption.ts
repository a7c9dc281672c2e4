/**
 * Stops the cluster when the command is interrupted. Child processes exit when their standard input
 * closes, but a child that a fault has paused would not notice that.
 */
import type { Cluster } from '../harness/cluster.js';

const SIGNALS = ['SIGINT', 'SIGTERM'] as const;
const EXIT_CODE_INTERRUPTED = 130;

/** Stops the cluster and exits this process on a signal; call the result to remove the handlers. */
export function stopClusterOnSignal(cluster: Cluster): () => void {
  const stopAndExit = (): void => {
    void cluster.stop().finally(() => process.exit(EXIT_CODE_INTERRUPTED));
  };
  for (const signal of SIGNALS) process.once(signal, stopAndExit);
  return () => {
    for (const signal of SIGNALS) process.off(signal, stopAndExit);
  };
}
