/** A fleet of hollow nodes around one store: starts, stops and cuts them, publishes, keeps time. */
import { createRandom, type Random } from '../bench/load/random.js';
import type { Hash64 } from '../src/core/ownership/rendezvous.js';
import type { Milliseconds } from '../src/core/units.js';
import { ConvergenceWatch } from './convergence.js';
import type { ListReaders } from './hollow-machine-list.js';
import type { HollowContext } from './hollow-membership.js';
import { HollowNode, type NodePlace } from './hollow-node.js';
import { groupsFor, HollowOwnership } from './hollow-ownership.js';
import { ListTimes } from './list-times.js';
import { Meters } from './meters.js';
import { HollowNetwork } from './network.js';
import { FleetObserver } from './observer.js';
import { regionOf, ZONE_COUNT, zoneName } from './places.js';
import { SimulatedMachineList } from './simulated-machine-list.js';
import { SimulatedStore } from './simulated-store.js';
import { storedTemplate, storedTenant } from './tenants.js';
import { VirtualClock } from './virtual-clock.js';

/** Changes of configuration a day at the letter's size; the same at any number of nodes. */
const PUBLISHES_PER_DAY = 38_000;
/** Changes of the machine list a day at the letter's size; the same at any number of nodes. */
const LIST_CHANGES_PER_DAY = 4_878;
/** The list's changes have random numbers of their own, apart from those of the faults. */
const LIST_SEED_OFFSET = 1_000_003;
const DAY_MS = 86_400_000;
/** Incarnations are times since the Unix epoch; virtual time starts here. */
const EPOCH_MS = 1_790_000_000_000;
/** Nodes that work out the owners of all groups; what one works out is what each would. */
const OWNERSHIP_SAMPLE = 8;
/** Starts of the first lives are spread over this time. */
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
  readonly convergence = new ConvergenceWatch(this.clock, () => this.#observers());
  readonly machineList: SimulatedMachineList;
  readonly listTimes: ListTimes;
  readonly random: Random;
  readonly #listRandom: Random;
  readonly places: readonly NodePlace[];
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
    this.places = placesOf(options.nodes);
    this.#listRandom = createRandom(options.seed + LIST_SEED_OFFSET);
    this.machineList = new SimulatedMachineList(this.places, groupsFor(options.nodes).length);
    this.listTimes = new ListTimes(this.machineList, () => clock.now);
  }

  /** Lives that run, paused ones too. */
  get running(): readonly HollowNode[] {
    return [...this.#running.values()];
  }

  /** Nodes that keep the owners of all groups. */
  get ownershipNodes(): readonly HollowNode[] {
    return this.running.filter((node) => node.ownership !== undefined);
  }

  /** Starts all nodes with a first configuration in the store; publishes begin at once. */
  boot(): void {
    const tenants = Array.from({ length: this.#options.tenants }, (_, index) =>
      storedTenant(index, 1),
    );
    this.store.publish([storedTemplate(), ...tenants]);
    for (const [index, place] of this.places.entries()) {
      const delay = this.random.fraction() * BOOT_SPREAD_MS;
      this.clock.after(delay, () => this.#start(place, this.#ownershipFor(index)));
    }
    this.#schedulePublish();
    this.#scheduleListChange();
  }

  /** Nodes that poll the machine list at present. */
  get listReaders(): number {
    const { now } = this.clock;
    return this.running.filter(({ machineList }) => {
      return machineList.agent.status(now).reading !== 'none';
    }).length;
  }

  run(durationMs: Milliseconds): void {
    this.clock.runUntil(this.clock.now + durationMs);
  }

  /** Runs until all changes are known everywhere; false if that is not so after the limit. */
  settle(limitMs: Milliseconds, stepMs: Milliseconds = 500): boolean {
    const end = this.clock.now + limitMs;
    while (this.convergence.openChanges > 0 && this.clock.now < end) this.run(stepMs);
    return this.convergence.openChanges === 0;
  }

  /** Ends a node without a word. */
  crash(nodeId: string): void {
    const node = this.#running.get(nodeId);
    if (node === undefined) return;
    node.crash();
    this.#forget(node);
    this.convergence.expect({ nodeId, incarnation: undefined });
  }

  /** Starts a new life of a node that does not run. */
  restart(place: NodePlace): void {
    if (!this.#running.has(place.nodeId)) this.#start(place, undefined);
  }

  /** Begins a planned stop. */
  beginLeave(nodeId: string): void {
    const node = this.#running.get(nodeId);
    if (node === undefined) return;
    node.leave();
    this.convergence.expect({ nodeId, incarnation: undefined });
  }

  /** Ends a planned stop. */
  endLeave(nodeId: string): void {
    const node = this.#running.get(nodeId);
    if (node === undefined) return;
    node.stop();
    this.#forget(node);
  }

  /** Nothing passes between this region and the others, the store's among them. */
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

  #start(place: NodePlace, ownership: HollowOwnership | undefined): void {
    const incarnation = EPOCH_MS + Math.floor(this.clock.now);
    const { store, observer } = this;
    const context = this.#context;
    const node = new HollowNode({
      context,
      place,
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
    this.#running.set(place.nodeId, node);
    this.network.attach(node);
    observer.onStarted(node);
    this.convergence.expect(node.identity);
    node.start(this.places);
  }

  #forget(node: HollowNode): void {
    this.#running.delete(node.identity.nodeId);
    this.observer.onStopped(node);
  }

  #ownershipFor(index: number): HollowOwnership | undefined {
    const every = Math.max(1, Math.floor(this.places.length / OWNERSHIP_SAMPLE));
    if (index % every !== 0 || index / every >= OWNERSHIP_SAMPLE) return undefined;
    const groups = groupsFor(this.places.length);
    return this.meters.timed(
      'ownership',
      () => new HollowOwnership(this.#options.hash, groups, this.places),
    );
  }

  /** Who is to see changes: running, not paused, not cut off from the larger side. */
  #observers(): readonly HollowNode[] {
    return this.running.filter((node) => !this.#isCutOff(node) && !node.isLeaving);
  }

  #isCutOff(node: HollowNode): boolean {
    return node.isPaused || regionOf(node.zoneIndex) === this.#cutRegion;
  }

  #scheduleListChange(): void {
    const delay = this.#listRandom.exponential(DAY_MS / LIST_CHANGES_PER_DAY);
    this.clock.after(delay, () => {
      this.machineList.toggle(this.#listRandom.fraction(), this.clock.now);
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
    const tenant = storedTenant(
      this.random.integerBelow(this.#options.tenants),
      this.#published + 1,
    );
    const cutOff = new Set(this.running.filter((node) => this.#isCutOff(node)));
    const revision = this.store.publish([tenant]);
    this.observer.onPublished(revision, cutOff);
  }
}

/** Places spread evenly over all zones. */
export function placesOf(count: number): NodePlace[] {
  return Array.from({ length: count }, (_, index) => placeOf(index));
}

function placeOf(index: number): NodePlace {
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
