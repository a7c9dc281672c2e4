/**
 * Whether a starting node is ready to serve: it needs routes, instances, and the primaries of its services. Without a
 * primary it would refuse requests that other nodes could serve. A service that has no primary delays readiness for a
 * bounded time only.
 */
import type { Milliseconds } from '../units.js';

/** How long a node waits for the primaries of its services, once it knows routes and instances. */
export const MAX_PRIMARIES_WAIT_MS: Milliseconds = 900;

/** What a starting node knows. */
export interface KnownAtStart {
  /** Routes and instances. */
  readonly hasDirectory: boolean;
  /** Each service's primary, or that a promotion is in progress. */
  readonly hasPrimaries: boolean;
}

/** Once ready, a node stays ready while it knows routes and instances. */
export class StartReadiness {
  #waitingSince: Milliseconds | undefined;
  #wasReady = false;

  isReady(now: Milliseconds, { hasDirectory, hasPrimaries }: KnownAtStart): boolean {
    if (!hasDirectory || this.#wasReady) return hasDirectory;
    this.#waitingSince ??= now;
    this.#wasReady = hasPrimaries || now - this.#waitingSince >= MAX_PRIMARIES_WAIT_MS;
    return this.#wasReady;
  }
}
