/**
 * The gateway's side of a hand-over: which owners to use for a group, in order. After a change of the
 * owners, the former ones come first until one of them redirects or a time limit passes.
 */
import type { GroupName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { OwnersChange } from './owner-index.js';

interface GroupRoute {
  /** Current owners, best first. */
  readonly owners: readonly string[];
  /** Owners that served before the last change and may still serve. */
  readonly former: readonly string[];
  /** Former owners come first until this time. */
  readonly formerFirstUntil: Milliseconds;
}

/** The live owners of each group, in the order of use. */
export class GroupRoutes {
  readonly #handOverMs: Milliseconds;
  readonly #isLive: (nodeId: string) => boolean;
  readonly #routes = new Map<GroupName, GroupRoute>();

  /** `handOverMs`: longer than a new owner needs to open connections; `isLive`: not dead in this node's view. */
  constructor(handOverMs: Milliseconds, isLive: (nodeId: string) => boolean) {
    this.#handOverMs = handOverMs;
    this.#isLive = isLive;
  }

  handleOwnersChanged(change: OwnersChange, now: Milliseconds): void {
    const known = this.#routes.get(change.group);
    const former = known === undefined ? change.previous : this.routeOf(change.group, now);
    this.#routes.set(change.group, {
      owners: change.owners,
      former,
      formerFirstUntil: now + this.#handOverMs,
    });
  }

  /** A former owner reports that its successors serve the group now. */
  handleRedirect(group: GroupName): void {
    const route = this.#routes.get(group);
    if (route !== undefined) this.#routes.set(group, { ...route, former: [] });
  }

  /** Live nodes to use, best first. */
  routeOf(group: GroupName, now: Milliseconds): readonly string[] {
    const route = this.#routes.get(group);
    if (route === undefined) return [];
    const former = now < route.formerFirstUntil ? route.former : [];
    const staying = former.filter((nodeId) => route.owners.includes(nodeId));
    const preferred = staying.length > 0 ? staying : former;
    return [...new Set([...preferred, ...route.owners])].filter((nodeId) => this.#isLive(nodeId));
  }
}
