/** A fault of the bench: its name, and functions that start and end it on a running cluster. */
import type { Deployment } from '../deployments.js';
import type { Cluster, ClusterTenant } from '../harness/cluster.js';
import type { PrimaryFailure } from '../load/failover-gap.js';
import type { Random } from '../load/random.js';
import type { RunRecorder } from '../recorders/run-recorder.js';

/** The running cluster and the tools of a fault. */
export interface FaultContext {
  readonly cluster: Cluster;
  readonly deployment: Deployment;
  /** Seeded; selects the group, instance or proxy that the fault affects. */
  readonly random: Random;
  readonly recorder: RunRecorder;
  readonly tenant: ClusterTenant;
}

/** A fault that has started. */
export interface InjectedFault {
  /** Human-readable name of the affected part. */
  readonly target: string;
  /** Primaries that stopped serving writes because of the fault. */
  readonly primaryFailures: readonly PrimaryFailure[];
  /** Ends the fault; resolves when the affected parts run again, except for those killed for good. */
  end(): Promise<void>;
}

export interface Fault {
  readonly name: string;
  /** One line for `--help` and for the report. */
  readonly summary: string;
  /** Duration in a run that is long enough; infinite: until the end of the run. */
  readonly durationMs: number;
  begin(context: FaultContext): Promise<InjectedFault>;
}
