/**
 * The gateway's side of a hand-over: which owners to use for a group, in order. After a view
 * change those that served before come first, until one of them redirects or the time is over.
 */
import type { GroupName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { OwnersChange } from './owner-index.js';

interface GroupRoute {
  /** Owners by the view, best first. */
  readonly owners: readonly string[];
  /** Owners that served before the last change and may still do. */
  readonly former: readonly string[];
  /** Former owners come first until then. */
  readonly until: Milliseconds;
}

/** The owners of a group, as far as they can be reached. */
export class GroupRoutes {
  readonly #handOverMs: Milliseconds;
  readonly #isLive: (nodeId: string) => boolean;
  readonly #routes = new Map<GroupName, GroupRoute>();

  /** `handOverMs`: longer than a new owner needs to warm; `isLive`: not dead by this node's view. */
  constructor(handOverMs: Milliseconds, isLive: (nodeId: string) => boolean) {
    this.#handOverMs = handOverMs;
    this.#isLive = isLive;
  }

  onOwnersChanged(change: OwnersChange, now: Milliseconds): void {
    const known = this.#routes.get(change.group);
    const former = known === undefined ? change.previous : this.routeOf(change.group, now);
    this.#routes.set(change.group, {
      owners: change.owners,
      former,
      until: now + this.#handOverMs,
    });
  }

  /** A former owner says that its successors serve now. */
  onRedirect(group: GroupName): void {
    const route = this.#routes.get(group);
    if (route !== undefined) this.#routes.set(group, { ...route, former: [] });
  }

  /** Live nodes to use, best first. */
  routeOf(group: GroupName, now: Milliseconds): readonly string[] {
    const route = this.#routes.get(group);
    if (route === undefined) return [];
    const former = now < route.until ? route.former : [];
    const staying = former.filter((nodeId) => route.owners.includes(nodeId));
    const first = staying.length > 0 ? staying : former;
    return [...new Set([...first, ...route.owners])].filter((nodeId) => this.#isLive(nodeId));
  }
}
