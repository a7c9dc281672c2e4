/**
 * Ends the cluster when the command is interrupted. Children end with their standard input, but one
 * that a fault has paused would not notice.
 */
import type { Cluster } from '../harness/cluster.js';

const SIGNALS = ['SIGINT', 'SIGTERM'] as const;
const EXIT_INTERRUPTED = 130;

/** Until the result is called, a signal ends the cluster and then this process. */
export function endOnSignal(cluster: Cluster): () => void {
  const end = (): void => {
    void cluster.stop().finally(() => process.exit(EXIT_INTERRUPTED));
  };
  for (const signal of SIGNALS) process.once(signal, end);
  return () => {
    for (const signal of SIGNALS) process.off(signal, end);
  };
}
