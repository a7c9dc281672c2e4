/**
 * Which nodes own a group and in which order to try them, according to this node's view of the
 * fleet, with a hand-over when the view changes. Views may differ between nodes: that costs
 * connections, never correctness. The core decides; this module carries out its effects over peer
 * calls.
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
import { toPeerAddress } from './fleet-nodes.js';
import type { FleetNode } from './fleet-view.js';
import type { OwnerReference } from './gateway/group-client.js';

/** Announces to a former owner of a group that the calling node serves the group now. */
export const SERVING_METHOD = 'ownership.serving';
const CALL_TIMEOUT_MS = 1000;
/** Gateways use former owners at most this long after a change; longer than the warm-up takes. */
const MAX_HAND_OVER_MS: Milliseconds = 3000;

const servingSchema = z.object({ group: z.string() });

/** A peer sent a malformed announcement. */
export class OwnershipCallError extends MeadowstackError {
  readonly code = 'MS-OWNERSHIP-CALL';
}

/** Dependencies of the directory of owners. */
export interface OwnerDirectoryOptions {
  readonly nodeId: string;
  readonly ownersPerGroup: number;
  readonly hash: Hash64;
  readonly transport: Pick<PeerTransport, 'call'>;
  readonly now: () => Milliseconds;
  /** Prepares this node to serve the group; resolves when it is ready or after a timeout. */
  readonly warmUp: (group: GroupName) => Promise<void>;
  /** Called when the groups that this node serves have changed. */
  readonly onChange: () => void;
}

/** Determines the owners of each group, and hands groups over when the owners change. */
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
    this.#routes = new GroupRoutes(MAX_HAND_OVER_MS, (nodeId) => this.#nodes.has(nodeId));
    this.#handOver = new OwnerHandOver(options.nodeId);
  }

  /** Sets the live nodes of the fleet view. */
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

  /** Sets the groups and the zones of their instances from the machine list. */
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

  /** True if this node accepts requests for the group: also during warm-up and until it retires. */
  owns(group: GroupName): boolean {
    return this.#handOver.phaseOf(group) !== 'none';
  }

  /** Owners to which requests are sent, in order of preference. */
  ownersOf(group: GroupName): readonly OwnerReference[] {
    const route = this.#routes.routeOf(group, this.#options.now());
    return route.flatMap((nodeId): OwnerReference[] => {
      if (nodeId === this.#options.nodeId) return [{ type: 'local' }];
      const node = this.#nodes.get(nodeId);
      return node === undefined ? [] : [{ type: 'remote', address: toPeerAddress(node) }];
    });
  }

  /**
   * To be called when an owner refused a request, for example because it no longer owns the group.
   */
  handleRefusal(group: GroupName): void {
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
        void this.#options.warmUp(group).then(() => this.#handle({ type: 'warmed', group }));
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
        // Gateways learn of the change when their next request is refused, which then did not run.
        return;
    }
  }

  #announce(nodeId: string, group: GroupName): void {
    const node = this.#nodes.get(nodeId);
    if (node === undefined) return;
    // If the announcement is lost, the former owner retires at its deadline.
    void this.#options.transport.call(
      toPeerAddress(node),
      SERVING_METHOD,
      { group },
      CALL_TIMEOUT_MS,
    );
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
