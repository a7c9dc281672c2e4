/**
 * Keeps a group's log position known while its primary is unavailable, so that replicas can go on serving reads that
 * tolerate staleness. The replicas suffice for that: some of them have received every acknowledged commit.
 */
import { PrimaryAbsence } from '../core/statements/primary-absence.js';
import type { Milliseconds } from '../core/units.js';
import type { PrimaryView } from './promotion/contract.js';
import type { ServiceRuntime } from './service-runtime.js';

/** In larger fleets only nodes that report to others send queries, since each takes a slot and a connection. */
const MAX_FLEET_ALL_QUERYING = 23;

export interface ReplicaSamplerCounters {
  replicaRounds: number;
  /** Rounds without effect, since members may be unknown to this node. */
  replicaRoundsUnproven: number;
}

export interface ReplicaSamplerOptions {
  readonly view: PrimaryView;
  readonly now: () => Milliseconds;
  readonly counters: ReplicaSamplerCounters;
}

export class ReplicaSampler {
  readonly #absences = new WeakMap<ServiceRuntime, PrimaryAbsence>();

  constructor(private readonly options: ReplicaSamplerOptions) {}

  /**
   * Queries the replicas if the primary has been unavailable for a while.
   * @param reportsToOthers whether other nodes take positions from this one
   */
  refresh(service: ServiceRuntime, reportsToOthers: boolean): void {
    const { view, now } = this.options;
    const isDue = this.#absenceOf(service).shouldQueryReplicas(now(), service.isPrimaryAway(now()));
    if (!isDue || (!reportsToOthers && view.liveNodeCount() > MAX_FLEET_ALL_QUERYING)) return;
    void this.#query(service);
  }

  #absenceOf(service: ServiceRuntime): PrimaryAbsence {
    const known = this.#absences.get(service);
    if (known !== undefined) return known;
    const absence = new PrimaryAbsence();
    this.#absences.set(service, absence);
    return absence;
  }

  async #query(service: ServiceRuntime): Promise<void> {
    const { view, counters } = this.options;
    // An unknown member may hold a later commit: the position covers only what was acknowledged before it could join.
    const asOf = await view.confirmMembers();
    counters.replicaRounds += 1;
    const position = await view.acknowledgedPosition(service.name);
    if (position === undefined) return;
    if (Number.isFinite(asOf)) service.recordAcknowledged(asOf, position);
    else counters.replicaRoundsUnproven += 1;
  }
}
