/**
 * Publishes the fleet record: the number of nodes, how they share connections, and which of them read the store for the
 * others or keep quotas.
 */
import type { ServiceDescription } from '../../direct/contract.js';
import { type ConnectionSharing, SharingDecision } from '../ownership/connection-sharing.js';
import {
  areSameOwners,
  areSameRosters,
  computeRoster,
  type OwnerRoster,
  type ReachableNode,
} from '../ownership/owner-roster.js';
import { selectReaders } from '../ownership/watch-readers.js';
import { maxFleetWithoutReturnOwners } from '../return/returning-fleet.js';
import {
  areSameKeepers,
  assignKeepers,
  KEEPER_REPLACEMENT_DELAY_MS,
  type KeeperCandidate,
  LEADER_WARMUP_MS,
  type QuotaKeepers,
} from '../tenancy/quota-keepers.js';
import type { Milliseconds } from '../units.js';
import type { LeaderStore } from './leader-store.js';
import type { FleetRecord } from './records.js';
import type { PromotionRuntime } from './runtime.js';

/** Part of the leader's store access that concerns the fleet. */
export type FleetStore = Pick<
  LeaderStore,
  | 'leadingSince'
  | 'countLiveNodes'
  | 'reachableNodes'
  | 'readerCandidates'
  | 'publishedFleet'
  | 'publishFleet'
>;

export class FleetPublisher {
  readonly #sharingDecision = new SharingDecision();
  readonly #returnSharingDecision = new SharingDecision();
  /** Time at which each quota keeper without a lease was first seen missing, by node id. */
  readonly #missingSince = new Map<string, Milliseconds>();

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly store: FleetStore,
    private readonly services: () => Iterable<ServiceDescription>,
  ) {}

  /** Whether the published record differs from the current state. */
  isOutdated(): boolean {
    const published = this.store.publishedFleet();
    return published === undefined || !areSameFleets(published, this.#currentFleet(published));
  }

  /** Whether the record may change with time alone, without any event. */
  get changesWithTime(): boolean {
    return this.hasOwners || this.runtime.options.hasQuotas === true;
  }

  /** Whether connections are currently shared through owners. */
  get hasOwners(): boolean {
    const published = this.store.publishedFleet();
    return published?.owners !== undefined || published?.returnOwners !== undefined;
  }

  publish(onDone: () => void): void {
    const published = this.store.publishedFleet();
    const fleet = this.#currentFleet(published);
    if (fleet.owners?.ownersPerInstance !== published?.owners?.ownersPerInstance)
      this.#logSharing(fleet);
    this.store.publishFleet(fleet, removedKeepers(published, fleet), onDone);
  }

  #logSharing({ nodes, owners }: FleetRecord): void {
    const ownersPerInstance = owners?.ownersPerInstance;
    const through = owners === undefined ? 'all nodes' : 'owners';
    this.runtime.log('info', 'connections shared', { through, nodes, ownersPerInstance });
  }

  #currentFleet(published: FleetRecord | undefined): FleetRecord {
    const nodes = this.store.countLiveNodes();
    const readers = this.#nextReaders(published);
    const sharing = this.#sharingDecision.decide(
      sharingOf(published?.owners),
      this.#fleetSize(nodes),
      this.runtime.now,
    );
    const keepers = this.#nextKeepers(published);
    if (sharing.type === 'direct') {
      return { nodes, readers, keepers, returnOwners: this.#returnOwners(published, nodes) };
    }
    const roster = computeRoster(published?.owners?.nodes ?? [], this.store.reachableNodes());
    // If other nodes can reach none of the nodes, each node has to connect by itself.
    if (roster.length === 0) return { nodes, readers, keepers };
    const owners = { ownersPerInstance: sharing.ownersPerInstance, nodes: roster };
    return { nodes, owners, readers, keepers };
  }

  /** Owners for returning nodes, in a fleet whose other nodes connect by themselves. */
  #returnOwners(published: FleetRecord | undefined, nodes: number): OwnerRoster | undefined {
    const before = published?.returnOwners ?? published?.owners;
    const { maxConnections } = this.#fleetSize(nodes);
    const largestDirectFleet =
      maxConnections === undefined ? undefined : maxFleetWithoutReturnOwners(maxConnections);
    const sharing = this.#returnSharingDecision.decide(
      sharingOf(before),
      { liveNodes: nodes, maxConnections, largestDirectFleet },
      this.runtime.now,
    );
    if (sharing.type === 'direct') return undefined;
    const roster = computeRoster(before?.nodes ?? [], this.store.reachableNodes());
    const { ownersPerInstance } = sharing;
    return roster.length === 0 ? undefined : { ownersPerInstance, nodes: roster };
  }

  #nextReaders(published: FleetRecord | undefined): readonly ReachableNode[] | undefined {
    const { smallestReaderFleet } = this.runtime.options;
    const live = this.store.readerCandidates();
    const readers = selectReaders(published?.readers ?? [], live, smallestReaderFleet);
    return readers.length === 0 ? undefined : readers;
  }

  /** Keepers whose lease has expired count as live until they are certain to have stopped. */
  #nextKeepers(published: FleetRecord | undefined): QuotaKeepers | undefined {
    const { options, now } = this.runtime;
    const previous = published?.keepers;
    if (options.hasQuotas !== true) return previous;
    if (previous === undefined && now - this.store.leadingSince < LEADER_WARMUP_MS)
      return undefined;
    const live = this.store.readerCandidates();
    return assignKeepers(previous ?? [], [
      ...live,
      ...this.#recentlyMissingKeepers(previous ?? [], live),
    ]);
  }

  #recentlyMissingKeepers(
    previous: QuotaKeepers,
    live: readonly KeeperCandidate[],
  ): readonly KeeperCandidate[] {
    const { now } = this.runtime;
    const present = new Set(live.map(({ nodeId }) => nodeId));
    const missing = new Map(
      previous.filter(({ nodeId }) => !present.has(nodeId)).map((node) => [node.nodeId, node]),
    );
    for (const nodeId of this.#missingSince.keys()) {
      if (!missing.has(nodeId)) this.#missingSince.delete(nodeId);
    }
    return [...missing.values()].flatMap((node) => {
      const since = this.#missingSince.get(node.nodeId) ?? now;
      this.#missingSince.set(node.nodeId, since);
      return now - since < KEEPER_REPLACEMENT_DELAY_MS ? [{ ...node, linkMbps: 0 }] : [];
    });
  }

  #fleetSize(liveNodes: number) {
    const limits = [...this.services()].map(({ maxConnections }) => maxConnections);
    const maxConnections = limits.length === 0 ? undefined : Math.min(...limits);
    const { largestDirectFleet } = this.runtime.options;
    return { liveNodes, maxConnections, largestDirectFleet };
  }
}

/** Keepers that the new record no longer names: their leases must have expired before it is written. */
function removedKeepers(before: FleetRecord | undefined, after: FleetRecord): readonly string[] {
  const staying = new Set(after.keepers?.map(({ nodeId }) => nodeId));
  const gone = before?.keepers?.filter(({ nodeId }) => !staying.has(nodeId)) ?? [];
  return [...new Set(gone.map(({ nodeId }) => nodeId))];
}

function sharingOf(owners: OwnerRoster | undefined): ConnectionSharing {
  if (owners === undefined) return { type: 'direct' };
  return { type: 'owners', ownersPerInstance: owners.ownersPerInstance };
}

function areSameFleets(left: FleetRecord, right: FleetRecord): boolean {
  if (left.nodes !== right.nodes) return false;
  if (!areSameRosters(left.readers ?? [], right.readers ?? [])) return false;
  if (!areSameKeepers(left.keepers, right.keepers)) return false;
  return (
    areSameOwners(left.owners, right.owners) && areSameOwners(left.returnOwners, right.returnOwners)
  );
}
