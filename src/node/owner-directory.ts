/**
 * Which nodes own a group and in which order to ask them, by this node's view of the fleet, with
 * hand-over when the view changes. Views may differ between nodes: that costs connections, never
 * correctness. Decisions are the core's; this carries them over peer calls.
 */
import { z } from 'zod';
import { MeadowstackError } from '../core/errors.js';
import { GroupRoutes } from '../core/ownership/group-routes.js';
import { type HandOverEffect, OwnerHandOver } from '../core/ownership/hand-over.js';
import { OwnerIndex, type OwnersChange } from '../core/ownership/owner-index.js';
import type { Hash64 } from '../core/ownership/rendezvous.js';
import type { GroupName, ZoneName } from '../core/request.js';
import type { Milliseconds } from '../core/units.js';
import type { NodeIdentity, PeerTransport, WireValue } from '../peer/contract.js';
import type { DatabaseMachine } from '../platform/contract.js';
import { addressOf } from './fleet-nodes.js';
import type { FleetNode } from './fleet-view.js';
import type { OwnerReference } from './gateway/group-client.js';

/** Tells a node that served a group before that the caller serves it now. */
export const SERVING_METHOD = 'ownership.serving';
const CALL_TIMEOUT_MS = 1000;
/** Gateways use former owners at most this long after a change; longer than warming takes. */
const HAND_OVER_MS: Milliseconds = 3000;

const servingSchema = z.object({ group: z.string() });

/** A peer's announcement is malformed. */
export class OwnershipCallError extends MeadowstackError {
  readonly code = 'MS-OWNERSHIP-CALL';
}

/** What the directory of owners is made of. */
export interface OwnerDirectoryOptions {
  readonly nodeId: string;
  readonly ownersPerGroup: number;
  readonly hash: Hash64;
  readonly transport: Pick<PeerTransport, 'call'>;
  readonly now: () => Milliseconds;
  /** Get ready to serve the group; resolves when ready or as ready as can be. */
  readonly warm: (group: GroupName) => Promise<void>;
  /** This node serves other groups than before. */
  readonly onChange: () => void;
}

/** Knows the owners of each group, and hands groups over when they change. */
export class OwnerDirectory {
  readonly #options: OwnerDirectoryOptions;
  readonly #index: OwnerIndex;
  readonly #routes: GroupRoutes;
  readonly #handOver: OwnerHandOver;
  #nodes: ReadonlyMap<string, FleetNode> = new Map();
  #groups: ReadonlySet<GroupName> = new Set();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: OwnerDirectoryOptions) {
    this.#options = options;
    this.#index = new OwnerIndex(options.hash, options.ownersPerGroup);
    this.#routes = new GroupRoutes(HAND_OVER_MS, (nodeId) => this.#nodes.has(nodeId));
    this.#handOver = new OwnerHandOver(options.nodeId);
  }

  /** Live nodes as the fleet view has them now. */
  setNodes(nodes: readonly FleetNode[]): void {
    const previous = this.#nodes;
    this.#nodes = new Map(nodes.map((node) => [node.nodeId, node]));
    const changes: OwnersChange[] = [];
    for (const nodeId of previous.keys()) {
      if (!this.#nodes.has(nodeId)) changes.push(...this.#index.removeMember(nodeId));
    }
    changes.push(...this.#index.addMembers(nodes));
    this.#apply(changes);
    for (const nodeId of previous.keys()) {
      if (!this.#nodes.has(nodeId)) this.#handle({ type: 'member-gone', nodeId });
    }
  }

  /** Groups and the zones of their instances, as the machine list has them now. */
  setGroups(machines: readonly DatabaseMachine[]): void {
    const zones = zonesByGroup(machines);
    for (const group of this.#groups) {
      if (!zones.has(group)) this.#index.removeGroup(group);
    }
    this.#groups = new Set(zones.keys());
    const changes = [...zones].flatMap(([group, groupZones]) =>
      this.#index.setGroup({ group, zones: groupZones }),
    );
    this.#apply(changes);
  }

  /** True if this node takes requests for the group: also before it is warm and until it retires. */
  owns(group: GroupName): boolean {
    return this.#handOver.phaseOf(group) !== 'none';
  }

  /** Whom to ask, best first. */
  ownersOf(group: GroupName): readonly OwnerReference[] {
    const route = this.#routes.routeOf(group, this.#options.now());
    return route.flatMap((nodeId): OwnerReference[] => {
      if (nodeId === this.#options.nodeId) return [{ type: 'local' }];
      const node = this.#nodes.get(nodeId);
      return node === undefined ? [] : [{ type: 'remote', address: addressOf(node) }];
    });
  }

  /** An owner refused because it no longer owns the group. */
  onRefused(group: GroupName): void {
    this.#routes.handleRedirect(group);
  }

  handles(method: string): boolean {
    return method === SERVING_METHOD;
  }

  onCall(_method: string, body: WireValue, from: NodeIdentity): WireValue {
    const parsed = servingSchema.safeParse(body);
    if (!parsed.success) throw new OwnershipCallError('malformed announcement of an owner');
    this.#handle({ type: 'serving-announced', group: parsed.data.group, from: from.nodeId });
    return null;
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #apply(changes: readonly OwnersChange[]): void {
    const now = this.#options.now();
    for (const change of changes) {
      this.#routes.handleOwnersChanged(change, now);
      this.#handle({ type: 'owners-changed', change });
    }
  }

  #handle(event: Parameters<OwnerHandOver['handle']>[0]): void {
    const effects = this.#handOver.handle(event, this.#options.now());
    for (const effect of effects) this.#carryOut(effect);
    this.#armTimer();
  }

  #carryOut(effect: HandOverEffect): void {
    switch (effect.type) {
      case 'warm': {
        const { group } = effect;
        void this.#options.warm(group).then(() => this.#handle({ type: 'warmed', group }));
        return;
      }
      case 'announce-serving':
        for (const nodeId of effect.to) this.#announce(nodeId, effect.group);
        return;
      case 'serve':
      case 'retire':
        this.#options.onChange();
        return;
      case 'redirect':
        // Gateways learn by the refusal of their next request, which did not run.
        return;
    }
  }

  #announce(nodeId: string, group: GroupName): void {
    const node = this.#nodes.get(nodeId);
    if (node === undefined) return;
    // A lost announcement is made up for by the former owner's deadline.
    void this.#options.transport.call(addressOf(node), SERVING_METHOD, { group }, CALL_TIMEOUT_MS);
  }

  #armTimer(): void {
    clearTimeout(this.#timer);
    const deadline = this.#handOver.nextDeadline();
    if (deadline === undefined) return;
    const delay = Math.max(0, Math.ceil(deadline - this.#options.now()));
    this.#timer = setTimeout(() => this.#handle({ type: 'tick' }), delay);
    this.#timer.unref();
  }
}

function zonesByGroup(
  machines: readonly DatabaseMachine[],
): ReadonlyMap<GroupName, readonly ZoneName[]> {
  const zones = new Map<GroupName, Set<ZoneName>>();
  for (const { group, zone } of machines) {
    const known = zones.get(group) ?? new Set();
    zones.set(group, known.add(zone));
  }
  return new Map([...zones].map(([group, names]) => [group, [...names].sort()]));
}
