/**
 * Ranks instances for reads by the observations of the whole fleet. Active only while those are available: a small
 * fleet has no readers that distribute them, and its nodes rank instances by their own observations alone.
 */
import type { FleetDigests } from '../core/fleet/fleet-digests.js';
import type { InstanceObservation } from '../core/fleet/instance-digest.js';
import type { TimedCandidate } from '../core/placement/choice.js';
import type { EjectionEvent } from '../core/placement/ejection.js';
import { ServicePlacement } from '../core/placement/service-placement.js';
import type { Milliseconds } from '../core/units.js';
import type { Logger } from '../observability/logger.js';
import type { InstanceEntry } from './contract.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';

export interface PlacementCounters {
  /** Instances that this node excluded from reads. */
  ejections: number;
  ejectionsEnded: number;
}

export interface FleetPlacementOptions {
  readonly digests: FleetDigests;
  /** Whether this node receives other nodes' observations, or is the one that distributes them. */
  readonly isFleetViewAvailable: () => boolean;
  readonly nodeCount: () => number;
  readonly now: () => Milliseconds;
  readonly random: () => number;
  readonly counters: PlacementCounters;
  readonly logger?: Logger | undefined;
}

export class FleetPlacement {
  readonly #services = new Map<string, ServicePlacement>();
  #isActive = false;

  constructor(private readonly options: FleetPlacementOptions) {}

  /** Number of instances that get no reads except probes during their probation. */
  get ejectedCount(): number {
    return [...this.#services.values()].reduce((sum, { ejectedCount }) => sum + ejectedCount, 0);
  }

  /** Records what a statement of this node showed about an instance. */
  observe({ service, id }: InstanceEntry, observation: InstanceObservation): void {
    this.options.digests.recordOwn(service, id, observation, this.options.now());
  }

  /** Ejects and readmits instances of all services; called periodically. */
  refresh(services: Iterable<ServiceRuntime>): void {
    const { isFleetViewAvailable, now, digests } = this.options;
    this.#isActive = isFleetViewAvailable();
    const at = now();
    const known = new Set<string>();
    for (const service of services) {
      const instances = service.readable(at);
      for (const { id } of service.members()) known.add(id);
      if (!this.#isActive) continue;
      for (const event of this.#placementOf(service.name).refresh(instances, at)) {
        this.#logEvent(service.name, event);
      }
    }
    digests.removeStale((id) => known.has(id), at);
    if (!this.#isActive) this.#services.clear();
  }

  /** The instances in order of preference; undefined while the fleet's observations are not available. */
  rank(
    service: string,
    instances: readonly InstanceRuntime[],
    mayProbe: boolean,
  ): TimedCandidate<InstanceRuntime>[] | undefined {
    if (!this.#isActive) return undefined;
    return this.#placementOf(service).rank(instances, this.options.now(), mayProbe);
  }

  #placementOf(service: string): ServicePlacement {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const { digests, nodeCount, random } = this.options;
    const viewOf = digests.viewOf.bind(digests);
    const placement = new ServicePlacement({ viewOf, nodeCount, random });
    this.#services.set(service, placement);
    return placement;
  }

  #logEvent(service: string, { type, instanceId, reason, ...evidence }: EjectionEvent): void {
    const { counters, logger } = this.options;
    if (type === 'ejected') counters.ejections += 1;
    if (type === 'returned') counters.ejectionsEnded += 1;
    const { view, pauseMs, othersAnswerMs } = evidence;
    logger?.info(LOG_EVENTS[type], {
      ...{ service, instance: instanceId, reason },
      ...(type === 'ejected' ? { pauseMs } : {}),
      answerMs: Math.round(view?.answerMs ?? 0),
      othersAnswerMs: Math.round(othersAnswerMs),
      answered: Math.round(view?.answered ?? 0),
      failed: Math.round(view?.failed ?? 0),
      observers: view?.observers ?? 0,
    });
  }
}

const LOG_EVENTS: Readonly<Record<EjectionEvent['type'], string>> = {
  ejected: 'instance ejected',
  probation: 'instance in probation',
  returned: 'instance back in use',
};
