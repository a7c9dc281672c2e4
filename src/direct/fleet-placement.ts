/**
 * Placement of reads by what the whole fleet sees of the instances. In effect only where the fleet's view is there:
 * nodes of a small fleet, which has no readers, rank instances by their own sight alone.
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
  /** Instances that this node took out of the choice. */
  ejections: number;
  ejectionsEnded: number;
}

export interface FleetPlacementOptions {
  readonly digests: FleetDigests;
  /** Whether other nodes tell this one what they see, or rely on it to pass that on. */
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

  /** Instances that get no reads but those of their probation. */
  get ejectedCount(): number {
    return [...this.#services.values()].reduce((sum, { ejectedCount }) => sum + ejectedCount, 0);
  }

  /** Takes what a statement of this node showed of an instance. */
  observe({ service, id }: InstanceEntry, observation: InstanceObservation): void {
    this.options.digests.recordOwn(service, id, observation, this.options.now());
  }

  /** Judges the instances of all services; called now and then. */
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

  /** The instances, the chosen one first; undefined where the fleet's view is absent. */
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
