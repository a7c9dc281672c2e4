/** Asks the instances for queues and connections, and for work that reaches leaving ones. */
import type { InstanceState } from '../../standins/database/instance.js';
import type { Cluster } from '../harness/cluster.js';
import { nowMs } from '../load/clock.js';
import type { RunRecorder } from './run-recorder.js';

/** Statements of callers on one instance, as of a time. */
interface StatementCount {
  readonly at: number;
  readonly statements: number;
}

/** What all instances together showed at one time. */
export interface InstanceTotals {
  readonly queued: number;
  readonly connections: number;
}

const CONTROL_TIMEOUT_MS = 1_000;

export class InstanceSampler {
  readonly #counts = new Map<string, StatementCount>();

  constructor(
    private readonly cluster: Cluster,
    private readonly recorder: RunRecorder,
    /** Role of callers' statements; probes have another. */
    private readonly callerRole: string,
  ) {}

  /** Instances that don't answer in time count as empty. */
  async sample(): Promise<InstanceTotals> {
    const askedAt = nowMs();
    const states = await this.#states();
    for (const state of states) this.#recordWork(state, askedAt);
    return {
      queued: states.reduce((sum, state) => sum + state.queuedStatements, 0),
      connections: states.reduce((sum, state) => sum + state.connections, 0),
    };
  }

  async #states(): Promise<InstanceState[]> {
    const instances = [...this.cluster.groups.values()].flatMap((group) => group.instances);
    const states = await Promise.all(
      instances.map(({ host, controlPort }) => readState(host, controlPort)),
    );
    return states.filter((state) => state !== undefined);
  }

  /** Work that came between two samples is dated to the first: no sooner could it have come. */
  #recordWork({ name, statementsByRole }: InstanceState, askedAt: number): void {
    const statements = statementsByRole[this.callerRole] ?? 0;
    const earlier = this.#counts.get(name);
    this.#counts.set(name, { at: askedAt, statements });
    if (earlier === undefined || statements <= earlier.statements) return;
    if (!this.recorder.leavingInstances.includes(name)) return;
    this.recorder.work({ instance: name, startedAt: earlier.at });
  }
}

async function readState(host: string, port: number): Promise<InstanceState | undefined> {
  try {
    const signal = AbortSignal.timeout(CONTROL_TIMEOUT_MS);
    const response = await fetch(`http://${host}:${port}/state`, { signal });
    return (await response.json()) as InstanceState;
  } catch {
    // Killed or paused: the fault is on record elsewhere.
    return undefined;
  }
}
