/**
 * Logs what this node believes about the store, the owners and the primaries: one line per change, with
 * the duration of the previous belief. Beliefs are compared periodically, which limits the log lines of
 * one that flaps.
 */
import type { Milliseconds } from '../core/units.js';
import type { Logger } from '../observability/logger.js';
import type { PrimaryView } from './promotion/contract.js';

/** With older positions, the primary must serve even reads that tolerate staleness. */
const MAX_FRESH_SAMPLE_AGE_MS: Milliseconds = 1000;

/** The part of a service that its beliefs are derived from. */
export interface ObservedService {
  readonly name: string;
  readonly samples: { newestAt(): Milliseconds | undefined };
}

export interface BeliefLogOptions {
  readonly logger: Logger;
  readonly view: PrimaryView;
  readonly isStoreHealthy: () => boolean;
  readonly now: () => Milliseconds;
}

/** A logged belief and the time it was first held. */
interface Belief {
  readonly text: string;
  readonly since: Milliseconds;
}

export class BeliefLog {
  readonly #beliefs = new Map<string, Belief>();

  constructor(private readonly options: BeliefLogOptions) {}

  /** Compares all beliefs with the logged ones; `sampled`: services whose log positions are sampled. */
  refresh(services: Iterable<ObservedService>, sampled: ReadonlySet<ObservedService>): void {
    const { view, isStoreHealthy, now } = this.options;
    const at = now();
    this.#logIfChanged('store', undefined, isStoreHealthy() ? 'current' : 'out of touch');
    const roster = view.ownerRoster();
    const owners = roster?.nodes.map(({ nodeId }) => nodeId).join(' ') ?? 'every node for itself';
    this.#logIfChanged('owners', undefined, owners);
    this.#logIfChanged(
      'watches primaries',
      undefined,
      view.watchesPrimaries ? 'this node' : 'another',
    );
    for (const service of services) {
      const { name } = service;
      this.#logIfChanged('primary', name, view.primaryOf(name)?.id ?? 'none');
      this.#logIfChanged('change of primary', name, view.isChanging(name) ? 'under way' : 'none');
      this.#logIfChanged('trust in primary', name, view.mayTrustPrimary(name, at) ? 'yes' : 'no');
      if (!sampled.has(service)) continue;
      const sampledAt = service.samples.newestAt() ?? Number.NEGATIVE_INFINITY;
      this.#logIfChanged(
        'known position',
        name,
        at - sampledAt > MAX_FRESH_SAMPLE_AGE_MS ? 'too old' : 'fresh',
      );
    }
  }

  #logIfChanged(belief: string, service: string | undefined, text: string): void {
    const key = `${belief}/${service ?? ''}`;
    const before = this.#beliefs.get(key);
    if (before?.text === text) return;
    const { now, logger } = this.options;
    this.#beliefs.set(key, { text, since: now() });
    const forMs = before === undefined ? undefined : Math.round(now() - before.since);
    const fields = { belief, service, now: text, before: before?.text, beforeForMs: forMs };
    logger.info('belief changed', fields);
  }
}
