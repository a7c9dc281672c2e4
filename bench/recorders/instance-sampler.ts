/** Reads queue lengths and connections from the instances, and records work that reaches leaving instances. */
import type { InstanceState } from '../../standins/database/instance.js';
import type { Cluster } from '../harness/cluster.js';
import { nowMs } from '../load/clock.js';
import type { RunRecorder } from './run-recorder.js';

/** Number of callers' statements that an instance had started by a given time. */
interface StatementCount {
  readonly at: number;
  readonly statements: number;
}

/** Totals over all instances at one time. */
export interface InstanceTotals {
  readonly queued: number;
  readonly connections: number;
}

const CONTROL_TIMEOUT_MS = 1_000;

export class InstanceSampler {
  readonly #lastCounts = new Map<string, StatementCount>();

  constructor(
    private readonly cluster: Cluster,
    private readonly recorder: RunRecorder,
    /** Database role of callers' statements; probes use another. */
    private readonly callerRole: string,
  ) {}

  /** Instances that don't respond in time are left out of the totals. */
  async sample(): Promise<InstanceTotals> {
    const requestedAt = nowMs();
    const states = await this.#readStates();
    for (const state of states) this.#recordWork(state, requestedAt);
    return {
      queued: states.reduce((sum, state) => sum + state.queuedStatements, 0),
      connections: states.reduce((sum, state) => sum + state.connections, 0),
    };
  }

  async #readStates(): Promise<InstanceState[]> {
    const instances = [...this.cluster.groups.values()].flatMap((group) => group.instances);
    const states = await Promise.all(
      instances.map(({ host, controlPort }) => readState(host, controlPort)),
    );
    return states.filter((state) => state !== undefined);
  }

  /** Work between two samples gets the time of the first sample, the earliest time at which it can have arrived. */
  #recordWork({ name, statementsByRole }: InstanceState, requestedAt: number): void {
    const statements = statementsByRole[this.callerRole] ?? 0;
    const earlier = this.#lastCounts.get(name);
    this.#lastCounts.set(name, { at: requestedAt, statements });
    if (earlier === undefined || statements <= earlier.statements) return;
    if (!this.recorder.leavingInstances.includes(name)) return;
    this.recorder.recordWork({ instance: name, startedAt: earlier.at });
  }
}

async function readState(host: string, port: number): Promise<InstanceState | undefined> {
  try {
    const signal = AbortSignal.timeout(CONTROL_TIMEOUT_MS);
    const response = await fetch(`http://${host}:${port}/state`, { signal });
    return (await response.json()) as InstanceState;
  } catch {
    // The instance is killed or paused; the fault itself is recorded elsewhere.
    return undefined;
  }
}
