/** A fleet of hollow nodes with one store: starts, stops and partitions nodes, and publishes changes. */
import { createRandom, type Random } from '../bench/load/random.js';
import type { Hash64 } from '../src/core/ownership/rendezvous.js';
import type { Milliseconds } from '../src/core/units.js';
import { ConvergenceWatch } from './convergence.js';
import type { ListReaders } from './hollow-machine-list.js';
import type { HollowContext } from './hollow-membership.js';
import { HollowNode, type NodeLocation } from './hollow-node.js';
import { createGroupsForFleet, HollowOwnership } from './hollow-ownership.js';
import { ListTimes } from './list-times.js';
import { Meters } from './meters.js';
import { HollowNetwork } from './network.js';
import { FleetObserver } from './observer.js';
import { SimulatedMachineList } from './simulated-machine-list.js';
import { SimulatedStore } from './simulated-store.js';
import { createTemplate, createTenant } from './tenants.js';
import { VirtualClock } from './virtual-clock.js';
import { regionOf, ZONE_COUNT, zoneName } from './zones.js';

/** Configuration changes per day at the design size; not scaled with the number of nodes. */
const PUBLISHES_PER_DAY = 38_000;
/** Machine list changes per day at the design size; not scaled with the number of nodes. */
const LIST_CHANGES_PER_DAY = 4_878;
/** Machine list changes use a random sequence of their own, so that they don't alter the faults. */
const LIST_SEED_OFFSET = 1_000_003;
const DAY_MS = 86_400_000;
/** Unix time at which virtual time starts; incarnations are Unix times. */
const EPOCH_MS = 1_790_000_000_000;
/** Nodes that compute the owners of all groups; every node would compute the same. */
const OWNERSHIP_SAMPLE_NODES = 8;
/** The nodes' first starts are spread over this time. */
const BOOT_SPREAD_MS = 2000;
const FIRST_PORT = 10_000;

export interface FleetOptions {
  readonly nodes: number;
  readonly tenants: number;
  readonly seed: number;
  readonly listReaders: ListReaders;
  readonly hash: Hash64;
}

export class HollowFleet {
  readonly clock = new VirtualClock();
  readonly meters = new Meters();
  readonly store = new SimulatedStore(() => this.clock.now);
  readonly observer = new FleetObserver(() => this.clock.now);
  readonly convergence = new ConvergenceWatch(this.clock, () => this.#observingNodes());
  readonly machineList: SimulatedMachineList;
  readonly listTimes: ListTimes;
  readonly random: Random;
  readonly #listRandom: Random;
  readonly locations: readonly NodeLocation[];
  readonly network: HollowNetwork;
  readonly #options: FleetOptions;
  readonly #context: HollowContext;
  readonly #running = new Map<string, HollowNode>();
  #cutRegion: number | undefined;
  #published = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.random = createRandom(options.seed);
    const { clock, meters, random } = this;
    this.network = new HollowNetwork({ clock, random, meters });
    this.#context = { clock, network: this.network, meters, random: random.fraction };
    this.locations = createNodeLocations(options.nodes);
    this.#listRandom = createRandom(options.seed + LIST_SEED_OFFSET);
    this.machineList = new SimulatedMachineList(
      this.locations,
      createGroupsForFleet(options.nodes).length,
    );
    this.listTimes = new ListTimes(this.machineList, () => clock.now);
  }

  /** Running nodes, including paused ones. */
  get running(): readonly HollowNode[] {
    return [...this.#running.values()];
  }

  /** Nodes that compute the owners of all groups. */
  get ownershipNodes(): readonly HollowNode[] {
    return this.running.filter((node) => node.ownership !== undefined);
  }

  /** Starts all nodes with an initial configuration in the store; publishing begins at once. */
  boot(): void {
    const tenants = Array.from({ length: this.#options.tenants }, (_, index) =>
      createTenant(index, 1),
    );
    this.store.publish([createTemplate(), ...tenants]);
    for (const [index, location] of this.locations.entries()) {
      const delay = this.random.fraction() * BOOT_SPREAD_MS;
      this.clock.after(delay, () => this.#start(location, this.#createOwnership(index)));
    }
    this.#schedulePublish();
    this.#scheduleListChange();
  }

  /** Number of nodes that poll the machine list. */
  get listReaders(): number {
    const { now } = this.clock;
    return this.running.filter(({ machineList }) => {
      return machineList.agent.status(now).reading !== 'none';
    }).length;
  }

  run(durationMs: Milliseconds): void {
    this.clock.runUntil(this.clock.now + durationMs);
  }

  /** Runs until all membership changes are known on all nodes; false if that takes longer than the timeout. */
  settle(timeoutMs: Milliseconds, stepMs: Milliseconds = 500): boolean {
    const end = this.clock.now + timeoutMs;
    while (this.convergence.openChanges > 0 && this.clock.now < end) this.run(stepMs);
    return this.convergence.openChanges === 0;
  }

  /** Stops a node without notice to its peers. */
  crash(nodeId: string): void {
    const node = this.#running.get(nodeId);
    if (node === undefined) return;
    node.crash();
    this.#removeNode(node);
    this.convergence.expect({ nodeId, incarnation: undefined });
  }

  /** Starts a new incarnation of a node that isn't running. */
  restart(location: NodeLocation): void {
    if (!this.#running.has(location.nodeId)) this.#start(location, undefined);
  }

  beginGracefulShutdown(nodeId: string): void {
    const node = this.#running.get(nodeId);
    if (node === undefined) return;
    node.leave();
    this.convergence.expect({ nodeId, incarnation: undefined });
  }

  endGracefulShutdown(nodeId: string): void {
    const node = this.#running.get(nodeId);
    if (node === undefined) return;
    node.stop();
    this.#removeNode(node);
  }

  /** Blocks all traffic between this region and the others, including the store's region. */
  cutRegion(region: number): void {
    this.#cutRegion = region;
    this.network.isCut = (from, to) => (regionOf(from) === region) !== (regionOf(to) === region);
    for (const { nodeId } of this.#nodesOfRegion(region).map(({ identity }) => identity)) {
      this.convergence.expect({ nodeId, incarnation: undefined });
    }
  }

  healRegion(): void {
    const region = this.#cutRegion;
    if (region === undefined) return;
    this.#cutRegion = undefined;
    this.network.isCut = () => false;
    for (const { identity } of this.#nodesOfRegion(region)) this.convergence.expect(identity);
  }

  #nodesOfRegion(region: number): HollowNode[] {
    return this.running.filter((node) => regionOf(node.zoneIndex) === region);
  }

  #start(location: NodeLocation, ownership: HollowOwnership | undefined): void {
    const incarnation = EPOCH_MS + Math.floor(this.clock.now);
    const { store, observer } = this;
    const context = this.#context;
    const node = new HollowNode({
      context,
      location,
      incarnation,
      store,
      observer,
      ownership,
      machineList: {
        service: this.machineList,
        readers: this.#options.listReaders,
        hash: this.#options.hash,
        onApplied: (version) => this.listTimes.onApplied(version),
      },
    });
    this.#running.set(location.nodeId, node);
    this.network.attach(node);
    observer.onStarted(node);
    this.convergence.expect(node.identity);
    node.start(this.locations);
  }

  #removeNode(node: HollowNode): void {
    this.#running.delete(node.identity.nodeId);
    this.observer.onStopped(node);
  }

  #createOwnership(index: number): HollowOwnership | undefined {
    const every = Math.max(1, Math.floor(this.locations.length / OWNERSHIP_SAMPLE_NODES));
    if (index % every !== 0 || index / every >= OWNERSHIP_SAMPLE_NODES) return undefined;
    const groups = createGroupsForFleet(this.locations.length);
    return this.meters.measure(
      'ownership',
      () => new HollowOwnership(this.#options.hash, groups, this.locations),
    );
  }

  /** Nodes that must learn of changes: running, not leaving, not paused, and on the larger side of a partition. */
  #observingNodes(): readonly HollowNode[] {
    return this.running.filter((node) => !this.#isCutOff(node) && !node.isLeaving);
  }

  #isCutOff(node: HollowNode): boolean {
    return node.isPaused || regionOf(node.zoneIndex) === this.#cutRegion;
  }

  #scheduleListChange(): void {
    const delay = this.#listRandom.exponential(DAY_MS / LIST_CHANGES_PER_DAY);
    this.clock.after(delay, () => {
      this.machineList.toggleLeaving(this.#listRandom.fraction(), this.clock.now);
      this.#scheduleListChange();
    });
  }

  #schedulePublish(): void {
    const delay = this.random.exponential(DAY_MS / PUBLISHES_PER_DAY);
    this.clock.after(delay, () => {
      this.#publish();
      this.#schedulePublish();
    });
  }

  #publish(): void {
    if (this.store.isDown) return;
    this.#published += 1;
    const tenant = createTenant(
      this.random.integerBelow(this.#options.tenants),
      this.#published + 1,
    );
    const cutOff = new Set(this.running.filter((node) => this.#isCutOff(node)));
    const revision = this.store.publish([tenant]);
    this.observer.onPublished(revision, cutOff);
  }
}

/** Locations spread evenly over all zones. */
export function createNodeLocations(count: number): NodeLocation[] {
  return Array.from({ length: count }, (_, index) => createNodeLocation(index));
}

function createNodeLocation(index: number): NodeLocation {
  const zoneIndex = index % ZONE_COUNT;
  const third = Math.floor(index / 250) % 250;
  return {
    nodeId: `proxy-${String(index).padStart(4, '0')}`,
    zone: zoneName(zoneIndex),
    zoneIndex,
    host: `10.${zoneIndex}.${third}.${1 + (index % 250)}`,
    peerPort: FIRST_PORT,
    leaving: false,
  };
}
