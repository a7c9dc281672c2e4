/**
 * The direct gateway put together: routes and instances come in, callers are served, and a planned
 * stop ends it without cutting what runs.
 */

import { type AdmissionRules, admissionRules } from '../core/admission/instance-admission.js';
import type { ServiceTerm } from '../core/directory/snapshot.js';
import { StartReadiness } from '../core/directory/start-readiness.js';
import { FleetDigests } from '../core/fleet/fleet-digests.js';
import { isReturning, type ProcessStart } from '../core/return/returning-fleet.js';
import type { Milliseconds } from '../core/units.js';
import type { Logger } from '../observability/logger.js';
import { Admission, type AdmissionCounters } from './admission.js';
import { BeliefLog } from './belief-log.js';
import { CallerServer } from './caller-server.js';
import type { RouteLookup, SessionCounters, Spending } from './caller-session.js';
import type {
  DirectSettings,
  InstanceEntry,
  PublishedConfiguration,
  RouteDescription,
  TenantDescription,
} from './contract.js';
import type { DirectorySource } from './directory-follower.js';
import { FleetPlacement, type PlacementCounters } from './fleet-placement.js';
import { type InstancePool, ownRequest, type PoolCounters } from './instance-pool.js';
import { createLatencies, RequestLatencies } from './latencies.js';
import { endSessions } from './planned-stop.js';
import { PositionSampler, type SamplerCounters } from './position-sampler.js';
import type { PrimaryView } from './promotion/contract.js';
import type { Quotas } from './quota/quotas.js';
import type { ReportedPosition, ZonePositions } from './readers/zone-positions.js';
import type { RelayCounters } from './relay/contract.js';
import { RelayHost } from './relay/relay-host.js';
import { RequestLogger, tellAll } from './request-log.js';
import { ServiceRuntime } from './service-runtime.js';
import { StartLog, type StartStep } from './start-log.js';
import { StatementRunner } from './statement-runner.js';
import { TenantTable } from './tenant-table.js';
import { type ProverCounters, TrustProver } from './trust-prover.js';
import type { StatementWire } from './wire.js';
import { firstWithin } from './within.js';

const CONNECT_TIMEOUT_MS = 500;
const RECONNECT_DELAY_MS = 200;
/** How often shares, positions and surplus connections are looked at. */
const CHECK_MS = 100;
/** A node that is not seen any more counts for so long among those that share connections. */
const NODE_MEMORY_MS = 30_000;
/** Nodes that share the instances' connections, before this one has seen how many there are. */
const ASSUMED_NODE_COUNT = 8;
/** Up to this size, a node that starts connects to every instance at once. */
const LARGEST_SMALL_FLEET = 23;
/** Until then a fleet that starts for the first time may not know yet how large it is. */
const FIRST_START_SETTLED_MS = 2500;

export interface DirectGatewayOptions {
  readonly settings: DirectSettings;
  readonly wire: StatementWire;
  readonly view: PrimaryView;
  /** False while what the store last told of the instances may be out of date. */
  readonly isStoreWell: () => boolean;
  /** When the store surely had no newer configuration; absent where nothing depends on that. */
  readonly configurationProvenAt?: () => Milliseconds | undefined;
  /** Positions by way of readers; without it each node asks the primaries. */
  readonly zone?: ZonePositions;
  /** What nodes see of instances; this node's own sight alone by default. */
  readonly digests?: FleetDigests;
  /** Counts operations of tenants; without it, no quota binds. */
  readonly quotas?: Pick<Quotas, 'spend'> | undefined;
  /** Takes lines about requests and beliefs; nothing is told without one. */
  readonly logger?: Logger;
  readonly now: () => Milliseconds;
  readonly random: () => number;
}

export interface DirectCounters
  extends SessionCounters,
    PoolCounters,
    ProverCounters,
    RelayCounters,
    SamplerCounters,
    AdmissionCounters,
    PlacementCounters {}

export class DirectGateway implements RouteLookup {
  readonly counters: DirectCounters = {
    statements: 0,
    refused: 0,
    failed: 0,
    refusedAtStop: 0,
    transactionsIdled: 0,
    connectionsOpened: 0,
    connectFailures: 0,
    waitTimeouts: 0,
    queueRefusals: 0,
    turnRefusals: 0,
    untriedRefusals: 0,
    samplesAsked: 0,
    replicaRounds: 0,
    proofRounds: 0,
    proofsFailed: 0,
    leasesAsked: 0,
    leasesRefused: 0,
    leasesLost: 0,
    leasesGiven: 0,
    readsAsked: 0,
    readsRun: 0,
    positionsTold: 0,
    keysUnknown: 0,
    keysUnproven: 0,
    quotaRefusals: 0,
    quotaUnknown: 0,
    quotaAsked: 0,
    ejections: 0,
    ejectionsEnded: 0,
  };
  readonly latencies = createLatencies();
  readonly #services = new Map<string, ServiceRuntime>();
  readonly #server: CallerServer;
  readonly #prover: TrustProver;
  readonly #runner: StatementRunner;
  readonly #relay: RelayHost;
  #routes = new Map<string, RouteDescription>();
  readonly #admission: Admission;
  readonly #tenants = new TenantTable();
  #configuration: PublishedConfiguration | undefined;
  #admissionRules: AdmissionRules | undefined;
  #instances: ReadonlyMap<string, InstanceEntry> = new Map();
  #instancesTold: DirectorySource = 'store';
  #nodeCount = ASSUMED_NODE_COUNT;
  #nodeCountSeenAt: Milliseconds | undefined;
  readonly #createdAt: Milliseconds;
  readonly #process: ProcessStart;
  readonly #readiness = new StartReadiness();
  /** Set once a stop was asked for; settles when it is over. */
  #stopped: Promise<void> | undefined;
  #checks: NodeJS.Timeout | undefined;
  readonly #sampler: PositionSampler;
  readonly #placement: FleetPlacement;
  readonly #beliefs: BeliefLog | undefined;
  readonly #starts: StartLog | undefined;
  /** Pools whose first connection was asked for. */
  readonly #firstOpened = new WeakSet<InstancePool>();
  readonly #firstConfiguration: Promise<true>;
  #tellFirstConfiguration: () => void = () => {};

  constructor(private readonly options: DirectGatewayOptions) {
    const { wire, view, isStoreWell, logger, now, random } = options;
    this.#createdAt = now();
    const { isFirstStart } = options.settings;
    this.#process = { startedAt: this.#createdAt, isFirstStart, jitter: random() };
    this.#firstConfiguration = new Promise((resolve) => {
      this.#tellFirstConfiguration = () => resolve(true);
    });
    this.#admission = new Admission({
      revocationMs: options.settings.revocationMs,
      configurationProvenAt: options.configurationProvenAt ?? (() => undefined),
      counters: this.counters,
      now,
    });
    this.#prover = new TrustProver({
      wire,
      now,
      counters: this.counters,
      confirmPrimary: (service, instanceId) => view.confirmPrimary(service, instanceId),
    });
    this.#placement = new FleetPlacement({
      ...{ counters: this.counters, logger, now, random },
      digests: options.digests ?? new FleetDigests(),
      isFleetSeen: () => options.zone?.isFleetSeen() === true,
      nodeCount: () => view.liveNodeCount(),
    });
    const placement = this.#placement;
    this.#runner = new StatementRunner({
      wire,
      view,
      prover: this.#prover,
      placement,
      now,
      random,
    });
    this.#sampler = new PositionSampler({
      ...{ wire, view, now, prover: this.#prover, runner: this.#runner },
      counters: this.counters,
      zone: options.zone,
    });
    this.#relay = new RelayHost({
      nodeName: options.settings.nodeName,
      listen: options.settings.peer,
      wire,
      find: (service, instanceId) => this.#services.get(service)?.lendable(instanceId),
      counters: this.counters,
      now,
    });
    view.onChange = (service) => {
      this.#followFleet();
      this.#services.get(service)?.notePrimaryChange();
      this.#starts?.look();
    };
    this.#relay.onChange = () => {
      for (const service of this.#services.values()) service.setOwners();
    };
    this.#beliefs = logger && new BeliefLog({ logger, view, isStoreWell, now });
    this.#starts = logger && new StartLog({ logger, now, reached: () => this.#stepsReached() });
    this.#server = new CallerServer({
      wire,
      runner: this.#runner,
      routes: this,
      now,
      counters: this.counters,
      requests: tellAll([
        new RequestLatencies(this.latencies.statements, now),
        ...(logger === undefined ? [] : [new RequestLogger(logger, now)]),
        ...(this.#starts === undefined ? [] : [this.#starts]),
      ]),
    });
  }

  get transactionIdleMs(): Milliseconds {
    return this.#configuration?.transactionIdleMs ?? 0;
  }

  get version(): number | undefined {
    return this.#configuration?.version;
  }

  /** True once requests can be served, until a stop is asked for. */
  get ready(): boolean {
    const hasDirectory = this.#configuration !== undefined && this.#instances.size > 0;
    const known = { hasDirectory, hasPrimaries: this.#hasPrimaries() };
    return this.#stopped === undefined && this.#readiness.isReady(this.options.now(), known);
  }

  /** A service whose primary is being replaced will have one soon. */
  #hasPrimaries(): boolean {
    const { view } = this.options;
    for (const name of this.#services.keys()) {
      if (view.primaryOf(name) === undefined && !view.isChanging(name)) return false;
    }
    return true;
  }

  #stepsReached(): StartStep[] {
    const { view, now } = this.options;
    const names = [...this.#services.keys()];
    const hasPrimaries = names.length > 0 && this.#hasPrimaries();
    const reached: Readonly<Record<StartStep, boolean>> = {
      configuration: this.#configuration !== undefined,
      instances: this.#instances.size > 0,
      fleet: this.#nodeCountSeenAt !== undefined,
      primaries: hasPrimaries,
      trust: hasPrimaries && names.every((name) => view.mayTrustPrimary(name, now())),
      connection: this.counters.connectionsOpened > 0,
      ready: this.ready,
    };
    return (Object.keys(reached) as StartStep[]).filter((step) => reached[step]);
  }

  get sessionCount(): number {
    return this.#server.sessionCount;
  }

  /** Connections to instances, open or being opened. */
  get connectionCount(): number {
    let count = 0;
    for (const service of this.#services.values()) count += service.connectionCount;
    return count;
  }

  /** Connections that other nodes lend now. */
  get leasedCount(): number {
    let count = 0;
    for (const service of this.#services.values()) count += service.leasedCount;
    return count;
  }

  /** Leases of other nodes at this one. */
  get lentCount(): number {
    return this.#relay.lentCount;
  }

  /** Instances that get no reads but those of their probation. */
  get ejectedCount(): number {
    return this.#placement.ejectedCount;
  }

  async start(): Promise<void> {
    await this.#server.listen(this.options.settings.callers);
    this.#checks = setInterval(() => {
      this.#followFleet();
      this.#openFirst();
      this.#placement.look(this.#services.values());
      const toSample = this.#servicesToSample();
      this.#sampler.sample(toSample);
      this.#beliefs?.look(this.#services.values(), toSample);
      for (const service of this.#services.values()) service.trim();
      this.#starts?.look();
    }, CHECK_MS);
  }

  /** A tenant as it is declared now. */
  tenant(name: string): TenantDescription | undefined {
    return this.#admission.tenant(name);
  }

  /** Counts one operation against an account's quota; gives why not, if it is beyond that. */
  spend(account: string, priority: number): Spending {
    return this.options.quotas?.spend(account, priority);
  }

  find(database: string, keyDigest: string): ReturnType<RouteLookup['find']> {
    const route = this.#routes.get(database);
    if (route === undefined) return undefined;
    const service = this.#services.get(route.service);
    if (service === undefined) return undefined;
    const admittance = this.#admission.admit(route, keyDigest);
    const account = admittance.type === 'admitted' ? admittance.account : undefined;
    const tenant = this.#tenants.get(route, account);
    const found = { route, service, tenant, account };
    return admittance.type === 'admitted' ? found : { ...found, refusal: admittance.refusal };
  }

  async known(withinMs: Milliseconds): Promise<boolean> {
    if (this.#configuration !== undefined) return true;
    return (await firstWithin([this.#firstConfiguration], withinMs)) ?? false;
  }

  /** Takes a configuration; an older one than that in force is left out. */
  setConfiguration(configuration: PublishedConfiguration): void {
    if (this.#configuration !== undefined && configuration.version <= this.#configuration.version) {
      return;
    }
    this.#configuration = configuration;
    this.#routes = new Map(configuration.routes.map((route) => [route.database, route]));
    this.#tenants.setRoutes(configuration.routes);
    this.#admission.setConfiguration(configuration);
    this.#admissionRules = admissionRules(configuration.routes);
    for (const description of configuration.services) {
      this.#service(description.name).setMaxConnections(description.maxConnections);
    }
    this.#dropServices(new Set(configuration.services.map(({ name }) => name)));
    this.setInstances(this.#instances, this.#instancesTold);
    this.#tellFirstConfiguration();
    this.#starts?.look();
  }

  /** Sessions that still hold a service which has left the configuration end their work with it. */
  #dropServices(kept: ReadonlySet<string>): void {
    for (const [name, service] of this.#services) {
      if (kept.has(name)) continue;
      service.close();
      this.#services.delete(name);
    }
  }

  /** Takes the instances that are announced now. */
  setInstances(
    instances: ReadonlyMap<string, InstanceEntry>,
    told: DirectorySource = 'store',
  ): void {
    this.#instances = instances;
    this.#instancesTold = told;
    for (const [name, service] of this.#services) {
      const entries = [...instances.values()].filter((entry) => entry.service === name);
      service.setInstances(entries, told);
    }
    this.#openFirst();
    this.#starts?.look();
  }

  /**
   * A connection to each new instance is opened at once: what a first statement would wait for happens
   * while a starting node waits for its lease. In a fleet of unknown size that could be more than the
   * instance takes, or be the owners' to open; and in a large one that starts at once, connections would take all slots, so that only
   * those instances are connected to that most statements go to.
   */
  #openFirst(): void {
    const { settings, now } = this.options;
    // A connection is of one tenant: none can be opened before one asks.
    if (this.#admission.asksForKeys) return;
    const isSettled = now() - this.#createdAt > FIRST_START_SETTLED_MS;
    if (!isSettled && (settings.isFirstStart || this.#nodeCountSeenAt === undefined)) return;
    for (const service of this.#services.values()) {
      const instances = this.#isFleetSmall ? service.readable(now()) : service.firstUsed(now());
      for (const { pool } of instances) {
        if (this.#firstOpened.has(pool)) continue;
        this.#firstOpened.add(pool);
        if (pool.size > 0 || pool.lessor !== undefined) continue;
        const acquired = pool.acquire(ownRequest(now() + CONNECT_TIMEOUT_MS));
        void acquired.then((result) => result.isOk() && pool.release(result.value));
      }
    }
  }

  get #isFleetSmall(): boolean {
    return this.#nodeCountSeenAt !== undefined && this.#nodeCount <= LARGEST_SMALL_FLEET;
  }

  /** Members of the groups that are not announced any more and still count among them. */
  departedMembers(): InstanceEntry[] {
    return [...this.#services.values()]
      .flatMap((service) => service.members())
      .map(({ pool }) => pool.instance)
      .filter(({ id }) => !this.#instances.has(id));
  }

  /** Takes members that are not announced any more: they are asked for proofs, and get no work. */
  noteDeparted(members: readonly InstanceEntry[]): void {
    for (const [name, service] of this.#services) {
      service.noteDeparted(members.filter((entry) => entry.service === name));
    }
  }

  /** Primaries, and terms in which they were found leading. */
  primaryTerms(): ServiceTerm[] {
    return [...this.#services.values()].flatMap(({ name, trustedPrimary }) =>
      trustedPrimary === undefined ? [] : [{ service: name, ...trustedPrimary }],
    );
  }

  /** Takes over such terms; one of a service that is not known is left out. */
  notePrimaryTerms(terms: readonly ServiceTerm[]): void {
    for (const { service, instanceId, term } of terms) {
      this.#services.get(service)?.noteTerm({ instanceId, term });
    }
  }

  /** The newest positions of these services that this node knows, for nodes of its zone. */
  newestPositions(services: readonly string[]): ReportedPosition[] {
    const now = this.options.now();
    return services.flatMap((name) => {
      const sample = this.#services.get(name)?.newestSample();
      if (sample === undefined) return [];
      const { instanceId, position, sentAt } = sample;
      return [{ service: name, instanceId, position, ageMs: Math.max(0, now - sentAt) }];
    });
  }

  /** Connections of this node to an instance; none if it is not known. */
  poolOf({ service, id }: Pick<InstanceEntry, 'service' | 'id'>): InstancePool | undefined {
    return this.#services.get(service)?.lendable(id)?.pool;
  }

  /** False while other nodes hold the connections to an instance. */
  mayConnect(service: string, instanceId: string): boolean {
    return this.#services.get(service)?.lendable(instanceId)?.mayConnect ?? true;
  }

  /** Resolves once no write of this node is on its way to the service's instances. */
  async writesEnded(service: string): Promise<void> {
    await this.#services.get(service)?.writesEnded();
  }

  /**
   * How many nodes there are, and who owns instances. Told with the primaries, it is followed before the statements that
   * waited for these: they would open connections that are the owners'.
   */
  #followFleet(): void {
    this.#shareConnections();
    const { view, now } = this.options;
    const owners = view.ownerRoster();
    const isInForce = owners !== undefined || isReturning(this.#process, now());
    this.#relay.update(owners ?? view.returnRoster?.(), isInForce);
  }

  /** Nodes that this one does not see any more may hold their connections still. */
  #shareConnections(): void {
    const now = this.options.now();
    const live = this.options.view.liveNodeCount();
    const wasKnown = this.#nodeCountSeenAt !== undefined;
    if (live >= this.#nodeCount) this.#nodeCountSeenAt = now;
    // Until others are seen, a count of one means only that nothing is known yet.
    const seenAt = this.#nodeCountSeenAt ?? (live > 1 ? Number.NEGATIVE_INFINITY : this.#createdAt);
    const isSettled = now - seenAt > NODE_MEMORY_MS;
    const isUnchanged = live === this.#nodeCount && wasKnown;
    if (isUnchanged || (live < this.#nodeCount && !isSettled)) return;
    this.#nodeCount = live;
    this.#nodeCountSeenAt = now;
    for (const service of this.#services.values()) service.setNodeCount(live);
  }

  /** Planned stop: no request is cut; resolves when the process may end. */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const { now, settings, logger } = this.options;
    const { counters } = this;
    const parts = { server: this.#server, relay: this.#relay, counters, now, logger };
    await endSessions({ ...parts, gracePeriodMs: settings.gracePeriodMs });
    clearInterval(this.#checks);
    for (const service of this.#services.values()) service.close();
    this.#relay.close();
  }

  #service(name: string): ServiceRuntime {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const { settings, wire, view, isStoreWell, logger, now, random } = this.options;
    const service = new ServiceRuntime(name, {
      nodeCount: this.#nodeCount,
      isNodeCountKnown: this.#nodeCountSeenAt !== undefined,
      zone: settings.zone,
      startedAt: this.#createdAt,
      isFirstStart: settings.isFirstStart,
      ownership: this.#relay,
      isByTenant: () => this.#admission.asksForKeys,
      drainTimeoutMs: settings.drainTimeoutMs,
      view,
      isStoreWell,
      now,
      changes: this.latencies.primaryChanges,
      pool: {
        wire,
        latencies: this.latencies,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        reconnectDelayMs: RECONNECT_DELAY_MS,
        now,
        random,
        counters: this.counters,
        admissionRules: () => this.#admissionRules,
        onAdmission: ({ service, id }, state) =>
          logger?.info('admission changed', {
            service,
            instance: id,
            room: state.concurrencyLimit,
            admitsBelow: state.admissionLevel,
          }),
        observe: (instance, observation) => this.#placement.observe(instance, observation),
      },
    });
    this.#services.set(name, service);
    return service;
  }

  /** Only services whose routes allow reads of some age need fresh positions. */
  #servicesToSample(): Set<ServiceRuntime> {
    const wanted = new Set<ServiceRuntime>();
    for (const route of this.#routes.values()) {
      const service = route.maxStalenessMs > 0 ? this.#services.get(route.service) : undefined;
      if (service !== undefined) wanted.add(service);
    }
    return wanted;
  }
}
