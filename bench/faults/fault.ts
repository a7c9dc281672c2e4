/** What every fault of the bench is: a name, and how it begins and ends on a running cluster. */
import type { Deployment } from '../deployments.js';
import type { Cluster, ClusterTenant } from '../harness/cluster.js';
import type { PrimaryFailure } from '../load/failover-gap.js';
import type { Random } from '../load/random.js';
import type { RunRecorder } from '../recorders/run-recorder.js';

/** What a fault works on. */
export interface FaultContext {
  readonly cluster: Cluster;
  readonly deployment: Deployment;
  /** Seeded; decides which group, instance or proxy is hit. */
  readonly random: Random;
  readonly recorder: RunRecorder;
  readonly tenant: ClusterTenant;
}

/** A fault that has begun. */
export interface InjectedFault {
  /** What was hit, for people. */
  readonly target: string;
  /** Primaries that stopped to serve writes through it. */
  readonly primaryFailures: readonly PrimaryFailure[];
  /** Takes the fault away; resolves when the cluster is whole again as far as the fault goes. */
  end(): Promise<void>;
}

export interface Fault {
  readonly name: string;
  /** One line for `--help` and for the report. */
  readonly summary: string;
  /** How long it lasts in a run that is long enough; infinite: to the end of the run. */
  readonly lengthMs: number;
  begin(context: FaultContext): Promise<InjectedFault>;
}
