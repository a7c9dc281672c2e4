/**
 * What the leader publishes of the fleet: how many nodes there are, how they share connections, and which
 * of them read the store for the others.
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
  FIRST_KEEPERS_MS,
  KEEPER_REPLACED_MS,
  type KeeperCandidate,
  nextKeepers,
  type QuotaKeepers,
  sameKeepers,
} from '../tenancy/quota-keepers.js';
import type { Milliseconds } from '../units.js';
import type { DutyStore } from './duty-store.js';
import type { FleetRecord } from './records.js';
import type { PromotionRuntime } from './runtime.js';

/** What is read and written of the fleet in the store. */
export type FleetStore = Pick<
  DutyStore,
  'begunAt' | 'liveNodes' | 'reachableNodes' | 'possibleReaders' | 'publishedFleet' | 'publishFleet'
>;

export class FleetPublisher {
  readonly #decision = new SharingDecision();
  readonly #returnDecision = new SharingDecision();
  /** Keepers without a lease, and since when. */
  readonly #missingSince = new Map<string, Milliseconds>();

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly store: FleetStore,
    private readonly services: () => Iterable<ServiceDescription>,
  ) {}

  /** True if what is published is not what holds now. */
  isOutdated(): boolean {
    const published = this.store.publishedFleet();
    return published === undefined || !sameFleet(published, this.#current(published));
  }

  /** True while what is to be published may change by the time alone. */
  get changesWithTime(): boolean {
    return this.hasOwners || this.runtime.options.hasQuotas === true;
  }

  /** True while connections are shared through owners. */
  get hasOwners(): boolean {
    const published = this.store.publishedFleet();
    return published?.owners !== undefined || published?.returnOwners !== undefined;
  }

  publish(onDone: () => void): void {
    const published = this.store.publishedFleet();
    const fleet = this.#current(published);
    if (fleet.owners?.ownersPerInstance !== published?.owners?.ownersPerInstance) this.#tell(fleet);
    this.store.publishFleet(fleet, replacedKeepers(published, fleet), onDone);
  }

  #tell({ nodes, owners }: FleetRecord): void {
    const ownersPerInstance = owners?.ownersPerInstance;
    const through = owners === undefined ? 'all nodes' : 'owners';
    this.runtime.log('info', 'connections shared', { through, nodes, ownersPerInstance });
  }

  #current(published: FleetRecord | undefined): FleetRecord {
    const nodes = this.store.liveNodes();
    const readers = this.#readers(published);
    const sharing = this.#decision.decide(
      sharingBy(published?.owners),
      this.#sizeOf(nodes),
      this.runtime.now,
    );
    const keepers = this.#keepersAfter(published);
    if (sharing.type === 'direct') {
      return { nodes, readers, keepers, returnOwners: this.#returnOwners(published, nodes) };
    }
    const roster = computeRoster(published?.owners?.nodes ?? [], this.store.reachableNodes());
    // Without a node that others reach there is no other way than each for itself.
    if (roster.length === 0) return { nodes, readers, keepers };
    const owners = { ownersPerInstance: sharing.ownersPerInstance, nodes: roster };
    return { nodes, owners, readers, keepers };
  }

  /** Owners for nodes that come back, in a fleet whose nodes connect by themselves otherwise. */
  #returnOwners(published: FleetRecord | undefined, nodes: number): OwnerRoster | undefined {
    const before = published?.returnOwners ?? published?.owners;
    const { maxConnections } = this.#sizeOf(nodes);
    const largestDirectFleet =
      maxConnections === undefined ? undefined : maxFleetWithoutReturnOwners(maxConnections);
    const sharing = this.#returnDecision.decide(
      sharingBy(before),
      { liveNodes: nodes, maxConnections, largestDirectFleet },
      this.runtime.now,
    );
    if (sharing.type === 'direct') return undefined;
    const roster = computeRoster(before?.nodes ?? [], this.store.reachableNodes());
    const { ownersPerInstance } = sharing;
    return roster.length === 0 ? undefined : { ownersPerInstance, nodes: roster };
  }

  #readers(published: FleetRecord | undefined): readonly ReachableNode[] | undefined {
    const { smallestReaderFleet } = this.runtime.options;
    const live = this.store.possibleReaders();
    const readers = selectReaders(published?.readers ?? [], live, smallestReaderFleet);
    return readers.length === 0 ? undefined : readers;
  }

  /** Keepers whose lease is over count as live until they surely have stopped. */
  #keepersAfter(published: FleetRecord | undefined): QuotaKeepers | undefined {
    const { options, now } = this.runtime;
    const previous = published?.keepers;
    if (options.hasQuotas !== true) return previous;
    if (previous === undefined && now - this.store.begunAt < FIRST_KEEPERS_MS) return undefined;
    const live = this.store.possibleReaders();
    return nextKeepers(previous ?? [], [...live, ...this.#lateKeepers(previous ?? [], live)]);
  }

  #lateKeepers(
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
      return now - since < KEEPER_REPLACED_MS ? [{ ...node, linkMbps: 0 }] : [];
    });
  }

  #sizeOf(liveNodes: number) {
    const limits = [...this.services()].map(({ maxConnections }) => maxConnections);
    const maxConnections = limits.length === 0 ? undefined : Math.min(...limits);
    const { largestDirectFleet } = this.runtime.options;
    return { liveNodes, maxConnections, largestDirectFleet };
  }
}

/** Keepers that are not named any more: their leases must be over. */
function replacedKeepers(before: FleetRecord | undefined, after: FleetRecord): readonly string[] {
  const staying = new Set(after.keepers?.map(({ nodeId }) => nodeId));
  const gone = before?.keepers?.filter(({ nodeId }) => !staying.has(nodeId)) ?? [];
  return [...new Set(gone.map(({ nodeId }) => nodeId))];
}

function sharingBy(owners: OwnerRoster | undefined): ConnectionSharing {
  if (owners === undefined) return { type: 'direct' };
  return { type: 'owners', ownersPerInstance: owners.ownersPerInstance };
}

function sameFleet(left: FleetRecord, right: FleetRecord): boolean {
  if (left.nodes !== right.nodes) return false;
  if (!areSameRosters(left.readers ?? [], right.readers ?? [])) return false;
  if (!sameKeepers(left.keepers, right.keepers)) return false;
  return (
    areSameOwners(left.owners, right.owners) && areSameOwners(left.returnOwners, right.returnOwners)
  );
}
