/**
 * The direct gateway: applies the configuration and the instance list, serves callers, and ends by a
 * planned stop that lets running requests finish.
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
import type { QuotaDecision, RouteLookup, SessionCounters } from './caller-session.js';
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
import { combineRequestLogs, RequestLogger } from './request-log.js';
import { ServiceRuntime } from './service-runtime.js';
import { StartLog, type StartStep } from './start-log.js';
import { StatementRunner } from './statement-runner.js';
import { TenantTable } from './tenant-table.js';
import { type ProverCounters, TrustProver } from './trust-prover.js';
import type { StatementWire } from './wire.js';
import { firstWithin } from './within.js';

const CONNECT_TIMEOUT_MS = 500;
const RECONNECT_DELAY_MS = 200;
/** Period of the checks of the node count, owners, positions, instance placement and surplus connections. */
const CHECK_PERIOD_MS = 100;
/** A lower node count is applied after this delay: a node that has disappeared may still hold connections. */
const NODE_COUNT_DECREASE_DELAY_MS = 30_000;
/** Number of nodes among which connections are divided until the real number is known. */
const ASSUMED_NODE_COUNT = 8;
/** In a fleet of at most this many nodes, a starting node connects to every instance immediately. */
const MAX_SMALL_FLEET_NODES = 23;
/** During this time after its first start, a fleet may not know its size yet. */
const FIRST_START_SETTLING_MS = 2500;

export interface DirectGatewayOptions {
  readonly settings: DirectSettings;
  readonly wire: StatementWire;
  readonly view: PrimaryView;
  /** Time since which the registrations have been current; undefined while they may be out of date. */
  readonly registrationsHealthySince: () => Milliseconds | undefined;
  /** Latest time at which the store is proven to have had no newer configuration; absent where not needed. */
  readonly configurationProvenAt?: () => Milliseconds | undefined;
  /** Log positions distributed by readers; without it each node queries the primaries itself. */
  readonly zone?: ZonePositions;
  /** Digests of all nodes' observations of instances; by default only this node's own. */
  readonly digests?: FleetDigests;
  /** Enforces the tenants' quotas; without it there are none. */
  readonly quotas?: Pick<Quotas, 'spend'> | undefined;
  /** Without a logger, nothing is logged. */
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
    replicaRoundsUnproven: 0,
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
  #instancesSource: DirectorySource = 'store';
  #nodeCount = ASSUMED_NODE_COUNT;
  #nodeCountSeenAt: Milliseconds | undefined;
  readonly #createdAt: Milliseconds;
  readonly #process: ProcessStart;
  readonly #readiness = new StartReadiness();
  /** Set once a stop was requested; resolves when the stop is complete. */
  #stopped: Promise<void> | undefined;
  #checkTimer: NodeJS.Timeout | undefined;
  readonly #sampler: PositionSampler;
  readonly #placement: FleetPlacement;
  readonly #beliefs: BeliefLog | undefined;
  readonly #starts: StartLog | undefined;
  /** Pools whose first connection this node has already requested. */
  readonly #poolsWithFirstConnection = new WeakSet<InstancePool>();
  readonly #firstConfiguration: Promise<true>;
  #resolveFirstConfiguration: () => void = () => {};

  constructor(private readonly options: DirectGatewayOptions) {
    const { wire, view, registrationsHealthySince, logger, now, random } = options;
    const isStoreHealthy = (): boolean => registrationsHealthySince() !== undefined;
    this.#createdAt = now();
    const { isFirstStart } = options.settings;
    this.#process = { startedAt: this.#createdAt, isFirstStart, jitter: random() };
    this.#firstConfiguration = new Promise((resolve) => {
      this.#resolveFirstConfiguration = () => resolve(true);
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
      hasBeenPrimary: (instance) => view.hasBeenPrimary(instance),
    });
    this.#placement = new FleetPlacement({
      ...{ counters: this.counters, logger, now, random },
      digests: options.digests ?? new FleetDigests(),
      isFleetViewAvailable: () => options.zone?.isFleetSeen() === true,
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
      this.#updateOwners();
      this.#services.get(service)?.handlePrimaryChange();
      this.#starts?.refresh();
    };
    this.#relay.onChange = () => {
      for (const service of this.#services.values()) service.updateOwners();
    };
    this.#beliefs = logger && new BeliefLog({ logger, view, isStoreHealthy, now });
    this.#starts = logger && new StartLog({ logger, now, reached: () => this.#stepsReached() });
    this.#server = new CallerServer({
      wire,
      runner: this.#runner,
      routes: this,
      now,
      counters: this.counters,
      requests: combineRequestLogs([
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

  /** True once requests can be served, until a stop is requested. */
  get ready(): boolean {
    const hasDirectory = this.#configuration !== undefined && this.#instances.size > 0;
    const known = { hasDirectory, hasPrimaries: this.#hasPrimaries() };
    return this.#stopped === undefined && this.#readiness.isReady(this.options.now(), known);
  }

  /** A service whose primary is being replaced counts as having one, since a new one is expected soon. */
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

  /** Number of connections to instances, open or being opened. */
  get connectionCount(): number {
    let count = 0;
    for (const service of this.#services.values()) count += service.connectionCount;
    return count;
  }

  /** Number of connections borrowed from other nodes. */
  get leasedCount(): number {
    let count = 0;
    for (const service of this.#services.values()) count += service.leasedCount;
    return count;
  }

  /** Number of connections lent to other nodes. */
  get lentCount(): number {
    return this.#relay.lentCount;
  }

  /** Number of instances that get no reads except in their probation. */
  get ejectedCount(): number {
    return this.#placement.ejectedCount;
  }

  async start(): Promise<void> {
    await this.#server.listen(this.options.settings.callers);
    this.#checkTimer = setInterval(() => {
      this.#updateOwners();
      this.#openFirstConnections();
      this.#placement.refresh(this.#services.values());
      const toSample = this.#servicesToSample();
      this.#sampler.sample(toSample);
      this.#beliefs?.refresh(this.#services.values(), toSample);
      for (const service of this.#services.values()) service.trim();
      this.#starts?.refresh();
    }, CHECK_PERIOD_MS);
  }

  /** The tenant as currently declared. */
  tenant(name: string): TenantDescription | undefined {
    return this.#admission.tenant(name);
  }

  /** Counts one operation against an account's quota, or refuses it if the quota is used up. */
  spend(account: string, priority: number): QuotaDecision {
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

  async waitForRoutes(timeoutMs: Milliseconds): Promise<boolean> {
    if (this.#configuration !== undefined) return true;
    return (await firstWithin([this.#firstConfiguration], timeoutMs)) ?? false;
  }

  /** Applies a configuration; one that is not newer than the current one is ignored. */
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
    this.#removeServices(new Set(configuration.services.map(({ name }) => name)));
    this.setInstances(this.#instances, this.#instancesSource);
    this.#resolveFirstConfiguration();
    this.#starts?.refresh();
  }

  /** Closes the services that left the configuration. Sessions that use one finish their requests with it. */
  #removeServices(kept: ReadonlySet<string>): void {
    for (const [name, service] of this.#services) {
      if (kept.has(name)) continue;
      service.close();
      this.#services.delete(name);
    }
  }

  /** Applies the list of registered instances. */
  setInstances(
    instances: ReadonlyMap<string, InstanceEntry>,
    source: DirectorySource = 'store',
  ): void {
    this.#instances = instances;
    this.#instancesSource = source;
    for (const [name, service] of this.#services) {
      const entries = [...instances.values()].filter((entry) => entry.service === name);
      service.setInstances(entries, source);
    }
    this.#openFirstConnections();
    this.#starts?.refresh();
  }

  /**
   * Opens a first connection to each new instance, so that a starting node does this while it waits for
   * its lease, and not while a statement waits. Nothing is opened while the fleet's size is unknown: the
   * nodes together could exceed the instance's maximum, or only owners might be allowed to connect. In a
   * large fleet that starts all at once, such connections would take all slots; there only the instances
   * that get the most statements are connected to.
   */
  #openFirstConnections(): void {
    const { settings, now } = this.options;
    // A connection belongs to one tenant, so none can be opened before a tenant's first request.
    if (this.#admission.requiresKeys) return;
    const isSettled = now() - this.#createdAt > FIRST_START_SETTLING_MS;
    if (!isSettled && (settings.isFirstStart || this.#nodeCountSeenAt === undefined)) return;
    for (const service of this.#services.values()) {
      const instances = this.#isFleetSmall ? service.readable(now()) : service.mostUsed(now());
      for (const { pool } of instances) {
        if (this.#poolsWithFirstConnection.has(pool) && !this.#mustStayConnected(pool)) continue;
        this.#poolsWithFirstConnection.add(pool);
        if (pool.size > 0 || pool.lender !== undefined) continue;
        const acquired = pool.acquire(ownRequest(now() + CONNECT_TIMEOUT_MS));
        void acquired.then((result) => result.isOk() && pool.release(result.value));
      }
    }
  }

  /**
   * The leader of primary changes keeps a connection to each instance that tells its incarnations apart: one that was
   * open before a primary failed proves which incarnation responds.
   */
  #mustStayConnected(pool: InstancePool): boolean {
    const tellsIncarnations = pool.instance.lifeOf !== undefined;
    return this.options.view.watchesPrimaries && tellsIncarnations && pool.waiting === 0;
  }

  get #isFleetSmall(): boolean {
    return this.#nodeCountSeenAt !== undefined && this.#nodeCount <= MAX_SMALL_FLEET_NODES;
  }

  /** Departed members: they are no longer registered but still belong to their groups. */
  departedMembers(): InstanceEntry[] {
    return [...this.#services.values()]
      .flatMap((service) => service.members())
      .map(({ pool }) => pool.instance)
      .filter(({ id }) => !this.#instances.has(id));
  }

  /** Adds members that are no longer registered: they take part in proofs of a primary, but get no statements. */
  addDeparted(members: readonly InstanceEntry[]): void {
    for (const [name, service] of this.#services) {
      service.addDeparted(members.filter((entry) => entry.service === name));
    }
  }

  /** The primaries that have been confirmed, each with the term of its confirmation. */
  primaryTerms(): ServiceTerm[] {
    return [...this.#services.values()].flatMap(({ name, trustedPrimary }) =>
      trustedPrimary === undefined ? [] : [{ service: name, ...trustedPrimary }],
    );
  }

  /** Records primaries confirmed by another node; those of unknown services are ignored. */
  recordPrimaryTerms(terms: readonly ServiceTerm[]): void {
    for (const { service, instanceId, term } of terms) {
      this.#services.get(service)?.recordTerm({ instanceId, term });
    }
  }

  /** The newest known log positions of these services, for other nodes of this zone. */
  newestPositions(services: readonly string[]): ReportedPosition[] {
    const now = this.options.now();
    return services.flatMap((name) => {
      const sample = this.#services.get(name)?.newestSample();
      if (sample === undefined) return [];
      const { instanceId, position, sentAt } = sample;
      return [{ service: name, instanceId, position, ageMs: Math.max(0, now - sentAt) }];
    });
  }

  /** This node's connection pool for an instance; undefined if the instance is unknown. */
  poolOf({ service, id }: Pick<InstanceEntry, 'service' | 'id'>): InstancePool | undefined {
    return this.#services.get(service)?.lendable(id)?.pool;
  }

  /** False while only other nodes may connect to the instance, as its owners. */
  mayConnect(service: string, instanceId: string): boolean {
    return this.#services.get(service)?.lendable(instanceId)?.mayConnect ?? true;
  }

  /** Resolves once this node has no write in flight to the service's instances. */
  async waitForWrites(service: string): Promise<void> {
    await this.#services.get(service)?.waitForWrites();
  }

  /**
   * Applies the node count and the owner roster. Both arrive together with the primaries and must be applied before
   * statements that waited for a primary continue: these would open connections that only owners may hold.
   */
  #updateOwners(): void {
    this.#updateNodeCount();
    const { view, now } = this.options;
    const owners = view.ownerRoster();
    const isActive = owners !== undefined || isReturning(this.#process, now());
    this.#relay.update(owners ?? view.returnRoster?.(), isActive);
  }

  /** Applies the node count; a lower one only after a delay, since absent nodes may still hold connections. */
  #updateNodeCount(): void {
    const now = this.options.now();
    const live = this.options.view.liveNodeCount();
    const wasKnown = this.#nodeCountSeenAt !== undefined;
    if (live >= this.#nodeCount) this.#nodeCountSeenAt = now;
    // A count of one before any other node has been seen means only that the fleet is not known yet.
    const seenAt = this.#nodeCountSeenAt ?? (live > 1 ? Number.NEGATIVE_INFINITY : this.#createdAt);
    const isSettled = now - seenAt > NODE_COUNT_DECREASE_DELAY_MS;
    const isUnchanged = live === this.#nodeCount && wasKnown;
    if (isUnchanged || (live < this.#nodeCount && !isSettled)) return;
    this.#nodeCount = live;
    this.#nodeCountSeenAt = now;
    for (const service of this.#services.values()) service.setNodeCount(live);
  }

  /** Planned stop within the grace period; resolves when the process may end. */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const { now, settings, logger } = this.options;
    const { counters } = this;
    const parts = { server: this.#server, relay: this.#relay, counters, now, logger };
    await endSessions({ ...parts, gracePeriodMs: settings.gracePeriodMs });
    clearInterval(this.#checkTimer);
    for (const service of this.#services.values()) service.close();
    this.#relay.close();
  }

  #service(name: string): ServiceRuntime {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const { settings, wire, view, registrationsHealthySince, logger, now, random } = this.options;
    const service = new ServiceRuntime(name, {
      nodeCount: this.#nodeCount,
      isNodeCountKnown: this.#nodeCountSeenAt !== undefined,
      zone: settings.zone,
      startedAt: this.#createdAt,
      isFirstStart: settings.isFirstStart,
      ownership: this.#relay,
      isByTenant: () => this.#admission.requiresKeys,
      drainTimeoutMs: settings.drainTimeoutMs,
      view,
      registrationsHealthySince,
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

  /** Services with a route that tolerates staleness; only these need fresh log positions. */
  #servicesToSample(): Set<ServiceRuntime> {
    const sampled = new Set<ServiceRuntime>();
    for (const route of this.#routes.values()) {
      const service = route.maxStalenessMs > 0 ? this.#services.get(route.service) : undefined;
      if (service !== undefined) sampled.add(service);
    }
    return sampled;
  }
}
