/**
 * One proxy process put together: gateway, owner, links to peers, platform clients, configuration.
 * Serves no caller before a configuration is in hand; a planned stop cuts no request in progress.
 */
import { createHmac, randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import type { ConfigurationSnapshot, TenantPolicy } from '../core/configuration/model.js';
import type { ConfigurationMember } from '../core/configuration/relays.js';
import { MeadowstackError, NotRunError, type RequestError } from '../core/errors.js';
import { DatabaseGroup } from '../core/group/database-group.js';
import type { GroupTiming } from '../core/group/options.js';
import type { ListedNode, MemberEvent } from '../core/membership/contract.js';
import type { SelfDescription } from '../core/membership/machine.js';
import type { Member } from '../core/membership/member.js';
import { loadHash64 } from '../core/ownership/hash.js';
import type { Hash64 } from '../core/ownership/rendezvous.js';
import type { GroupName, TenantName } from '../core/request.js';
import { RetryBudget } from '../core/retry/budget.js';
import type { SessionKeys } from '../core/session/index.js';
import { NodeRanker } from '../core/session/node-ranker.js';
import type { Readiness } from '../observability/admin-server.js';
import type { Logger } from '../observability/logger.js';
import type { NodeIdentity, PeerAddress } from '../peer/contract.js';
import { TcpPeerTransport } from '../peer/transport.js';
import type { DatabaseMachine, Machine, ProxyMachine } from '../platform/contract.js';
import {
  DEFAULT_MACHINE_LIST_OPTIONS,
  MachineListClient,
} from '../platform/machine-list-client.js';
import { DEFAULT_STORE_CLIENT_OPTIONS, StoreClient } from '../platform/store-client.js';
import type { CallerTlsOptions } from '../postgres/caller/options.js';
import { CallerServer } from '../postgres/caller/server.js';
import type { CallerConnection } from '../postgres/contract.js';
import { monotonicNow } from './clock.js';
import { ConfigurationService } from './configuration/service.js';
import { endpointOf } from './endpoints.js';
import { type FleetNode, FleetView } from './fleet-view.js';
import { GatewaySession } from './gateway/gateway-session.js';
import { GroupClient } from './gateway/group-client.js';
import { HomeNodeDirectory } from './gateway/home-node-directory.js';
import type { RequestMetrics } from './gateway/request-metrics.js';
import { SESSION_GRACE_MS, SessionRegistry } from './gateway/session-registry.js';
import { TenantLimitService } from './limits/service.js';
import { MembershipService } from './membership/service.js';
import type { MemberSummary, NodeState, NodeStatus } from './node-status.js';
import { BackendConnector } from './owner/backend-connector.js';
import { OwnerService } from './owner/owner-service.js';
import { OwnerDirectory } from './owner-directory.js';
import { PeerRouter } from './peer-router.js';
import type { Settings } from './settings.js';
import { groupPolicyOf, OUR_POLICY } from './test-policy.js';

const SECRET_BYTES = 32;
/** Connections of each instance that owners leave to operators and probes. */
const RESERVED_CONNECTIONS = 2;
const DRAIN_POLL_MS = 20;
/** Only links with work under way are asked; a frozen owner is given up after three of these. */
const LINK_HEARTBEAT_MS = 300;
/** How often groups that are no longer owned are looked through, in ms. */
const RELEASE_GROUPS_MS = 1000;
const RETRY_BUDGET = { ratio: 0.1, capacity: 100 };

/** The proxy could not start. */
export class ProxyStartError extends MeadowstackError {
  readonly code = 'MS-PROXY-START';
}

/** The node is stopping: callers reconnect elsewhere. */
export class NodeStoppingError extends NotRunError {
  constructor() {
    super('owner-stopping', 'the proxy is stopping; reconnect to another one');
  }
}

/** Where a started proxy listens. */
export interface ProxyAddresses {
  readonly callers: PeerAddress;
  readonly peer: PeerAddress;
}

export interface ProxyOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: RequestMetrics;
}

export class ProxyNode {
  addresses: ProxyAddresses;
  readonly #settings: Settings;
  readonly #logger: Logger;
  readonly #identity: NodeIdentity;
  readonly #transport: TcpPeerTransport;
  readonly #hash: Hash64;
  readonly #membership: MembershipService;
  readonly #fleet: FleetView;
  readonly #store: StoreClient;
  readonly #machineList: MachineListClient;
  readonly #configuration: ConfigurationService;
  readonly #connector: BackendConnector;
  readonly #owners: OwnerDirectory;
  readonly #owner: OwnerService;
  readonly #sessions = new SessionRegistry();
  readonly #directory: HomeNodeDirectory;
  readonly #client: GroupClient;
  readonly #callers: CallerServer;
  readonly #limits: TenantLimitService;
  readonly #sessionKeys: SessionKeys;
  #snapshot: ConfigurationSnapshot | undefined;
  #requestsNumbered = 0;
  #releaseTimer: NodeJS.Timeout | undefined;
  #draining: Promise<void> | undefined;

  private constructor(
    readonly options: ProxyOptions,
    links: NodeLinks,
  ) {
    const { settings } = options;
    this.#settings = settings;
    this.#logger = options.logger;
    this.#identity = links.identity;
    this.#transport = links.transport;
    this.#hash = links.hash;
    this.addresses = { callers: settings.callers, peer: links.address };
    this.#sessionKeys = sessionKeysOf(settings);
    const self = selfOf(settings, links);
    this.#membership = new MembershipService({
      self,
      transport: links.transport,
      clusterSecret: clusterSecretOf(settings),
    });
    this.#fleet = new FleetView({
      self,
      memberOf: (nodeId) => this.#membership.member(nodeId),
      members: () => this.#membership.members(),
      now: monotonicNow,
    });
    this.#store = createStore(settings);
    this.#machineList = createMachineList(settings);
    this.#owners = this.#createOwners(links);
    this.#connector = new BackendConnector(settings.backend);
    this.#owner = this.#createOwner();
    this.#directory = this.#createDirectory();
    this.#client = this.#createClient();
    this.#limits = this.#createLimits();
    this.#callers = this.#createCallerServer();
    this.#configuration = this.#createConfiguration(self);
    this.#route(links.router);
  }

  /** Resolves once callers are served. */
  static start(options: ProxyOptions): ResultAsync<ProxyNode, ProxyStartError> {
    return new ResultAsync(ProxyNode.#start(options));
  }

  static async #start(options: ProxyOptions): Promise<Result<ProxyNode, ProxyStartError>> {
    const links = await openLinks(options.settings);
    if (links.isErr()) return err(startError(links.error));
    const node = new ProxyNode(options, links.value);
    return node.#serve();
  }

  /** Called once the planned stop is over. */
  onDrained: (() => void) | undefined;

  /** Planned stop: resolves once every session has ended or the drain limit has passed. */
  drain(): Promise<void> {
    this.#draining ??= this.#drain();
    return this.#draining;
  }

  /** Whether callers may be sent here. */
  readiness(): Readiness {
    const reasons: string[] = [];
    if (this.#snapshot === undefined) reasons.push('no-configuration');
    if (this.#draining !== undefined) reasons.push('draining');
    return { ready: reasons.length === 0, reasons };
  }

  /** What `meadowstack status` shows. */
  status(): NodeStatus {
    return {
      nodeId: this.#identity.nodeId,
      incarnation: this.#identity.incarnation,
      zone: this.#settings.zone,
      state: this.#state(),
      configuration: this.#configuration.status(),
      callers: this.#callers.openConnections().length,
      sessionsKept: this.#directory.sessionCount,
      backendConnectionsOpened: this.#connector.opened,
      groups: [...this.#owner.statistics()].map(([group, figures]) => ({ group, ...figures })),
      members: this.#membership.members().map(summaryOf),
      membership: this.#membership.counters(),
      limits: this.#limits.status(),
      peers: this.#transport.counters(),
    };
  }

  #state(): NodeState {
    if (this.#draining !== undefined) return 'leaving';
    return this.#snapshot === undefined ? 'starting' : 'serving';
  }

  async #serve(): Promise<Result<ProxyNode, ProxyStartError>> {
    const { testPolicy } = this.#settings;
    if (testPolicy !== OUR_POLICY) this.#logger.warn('test policy in force', { testPolicy });
    const joined = await this.#membership.start([]);
    if (joined.isErr()) return err(startError(joined.error));
    this.#membership.onMemberChanged = (event) => this.#onMemberChanged(event);
    this.#membership.onToldToLeave = () => void this.drain();
    this.#releaseTimer = setInterval(() => this.#owner.releaseGroups(), RELEASE_GROUPS_MS);
    this.#machineList.onChange = (machines) => this.#onMachines(machines);
    this.#machineList.start();
    this.#configuration.onSnapshot = (snapshot) => this.#onSnapshot(snapshot);
    this.#configuration.start();
    await this.#configuration.ready;
    this.#onSnapshot(this.#configuration.snapshot());
    this.#limits.start();
    const callers = await this.#callers.listen();
    if (callers.isErr()) return err(startError(callers.error));
    this.addresses = { ...this.addresses, callers: callers.value };
    this.#logger.info('serving', { callersPort: callers.value.port });
    return ok(this);
  }

  async #drain(): Promise<void> {
    this.#logger.info('leaving', { callers: this.#callers.openConnections().length });
    this.#membership.leave();
    this.#fleet.setSelfLeaving();
    this.#onFleetChanged();
    this.#callers.stopAccepting();
    for (const session of this.#sessions.all()) session.stop(new NodeStoppingError());
    const limit = monotonicNow() + this.#settings.drainLimitMs;
    while (this.#busy() && monotonicNow() < limit) await pause(DRAIN_POLL_MS);
    this.#owner.drain();
    while (this.#owner.unfinished > 0 && monotonicNow() < limit) await pause(DRAIN_POLL_MS);
    await this.#close();
    this.#logger.info('left');
    this.onDrained?.();
  }

  #busy(): boolean {
    return this.#callers.openConnections().length > 0;
  }

  async #close(): Promise<void> {
    for (const session of this.#sessions.all()) session.cut(new NodeStoppingError());
    clearInterval(this.#releaseTimer);
    await this.#limits.stop(new NodeStoppingError());
    this.#owners.stop();
    await this.#membership.stop();
    await this.#configuration.stop();
    this.#machineList.stop();
    this.#owner.close();
    await this.#callers.close();
    await this.#transport.close();
    this.#store.close();
  }

  #createOwner(): OwnerService {
    return new OwnerService({
      connector: this.#connector,
      createMachine: (group) => this.#createGroup(group),
      owns: (group) => this.#owners.owns(group),
      connectionBudget: (machine) => this.#connectionBudget(machine),
      now: monotonicNow,
      logger: this.#logger,
    });
  }

  #createGroup(group: GroupName): DatabaseGroup {
    return new DatabaseGroup({
      group,
      ownZone: this.#settings.zone,
      confirmationMode: this.#settings.confirmation,
      timing: probeTimingOf(this.#settings),
      random: Math.random,
      ...groupPolicyOf(this.#settings.testPolicy),
    });
  }

  #createCallerServer(): CallerServer {
    const { callers } = this.#settings;
    const tls = callerTlsOf(this.#settings);
    return new CallerServer({
      host: callers.host,
      port: callers.port,
      ...(tls === undefined ? {} : { tls }),
      mockSecret: mockSecretOf(this.#sessionKeys),
      policyFor: (user) => this.#policyFor(user),
      admit: (policy) => this.#limits.admit(policy),
      handler: (connection) => this.#onCaller(connection),
    });
  }

  #createLimits(): TenantLimitService {
    return new TenantLimitService({
      identity: this.#identity,
      transport: this.#transport,
      hash: this.#hash,
      limitOf: (tenant) => this.#connectionLimit(tenant),
      now: monotonicNow,
      graceMs: SESSION_GRACE_MS,
      onShareLowered: (tenant, allowed) => this.#sessions.endBeyond(tenant, allowed),
    });
  }

  #createConfiguration(self: FleetNode): ConfigurationService {
    return new ConfigurationService({
      self: configurationMember(self),
      store: this.#store,
      transport: this.#transport,
      members: () => this.#fleet.liveNodes().map(configurationMember),
      random: Math.random,
      now: monotonicNow,
    });
  }

  #createOwners(links: NodeLinks): OwnerDirectory {
    return new OwnerDirectory({
      nodeId: this.#settings.nodeId,
      ownersPerGroup: this.#settings.ownersPerGroup,
      hash: links.hash,
      transport: links.transport,
      now: monotonicNow,
      warm: (group) => this.#owner.warm(group),
      onChange: () => this.#owner.reconcile(),
    });
  }

  #createDirectory(): HomeNodeDirectory {
    return new HomeNodeDirectory({
      nodeId: this.#settings.nodeId,
      transport: this.#transport,
      rank: new NodeRanker(this.#hash).rank,
      nodes: () =>
        this.#fleet.homeNodes().map((node) => ({ nodeId: node.nodeId, address: addressOf(node) })),
      now: monotonicNow,
    });
  }

  #createClient(): GroupClient {
    return new GroupClient({
      ownersOf: (group) => this.#owners.ownersOf(group),
      transport: this.#transport,
      onOwnerRefused: (group) => this.#owners.onRefused(group),
      acceptLocal: (header, stream) => this.#owner.accept(header, stream),
      retryBudget: new RetryBudget(RETRY_BUDGET),
      now: monotonicNow,
    });
  }

  #route(router: PeerRouter): void {
    router.acceptStreams((header, stream) => this.#owner.accept(header, stream));
    router.onLinkDown = (peer) => this.#onLinkDown(peer);
    router.add(this.#configuration);
    router.add(this.#directory);
    router.add(this.#limits);
    router.add(this.#owners);
    router.add({
      handles: (method) => this.#membership.handlesCall(method),
      onCall: (method, body) => this.#membership.handleCall(method, body),
    });
  }

  #onMachines(machines: readonly Machine[]): void {
    this.#fleet.setMachines(machines);
    this.#membership.setListedNodes(this.#fleet.listedProxies.map(listedNode));
    this.#onFleetChanged();
  }

  #onMemberChanged(event: MemberEvent): void {
    this.#logger.info(`member ${event.change}`, { member: event.member.nodeId });
    this.#onFleetChanged();
  }

  /** A lost link is a hint: the node behind it is probed at once. */
  #onLinkDown(peer: PeerAddress): void {
    const member = this.#membership
      .members()
      .find((candidate) => candidate.host === peer.host && candidate.peerPort === peer.port);
    if (member !== undefined) this.#membership.reportLinkLost(member.nodeId);
  }

  #onFleetChanged(): void {
    this.#owner.setMachines(this.#fleet.databases);
    this.#owners.setGroups(this.#fleet.databases);
    this.#owners.setNodes(this.#fleet.liveNodes());
    this.#owner.reconcile();
    this.#configuration.membersChanged();
    this.#limits.setFleet(
      this.#fleet.liveNodes(),
      this.#fleet.knownNodes(),
      this.#fleet.listedNodes,
    );
  }

  #onSnapshot(snapshot: ConfigurationSnapshot): void {
    const previous = this.#snapshot;
    this.#snapshot = snapshot;
    this.#membership.setConfigurationRevision(snapshot.revision);
    this.#owner.setConfiguration(snapshot);
    this.#sessions.applyPolicies((tenant) => this.#policyOf(tenant));
    for (const [tenant, policy] of snapshot.tenantsByName) {
      const before = previous?.tenantsByName.get(tenant);
      if (before?.maxConnections !== policy.maxConnections) this.#limits.limitChanged(tenant);
    }
  }

  #policyOf(tenant: string): TenantPolicy | undefined {
    return this.#snapshot?.tenantsByName.get(tenant);
  }

  #policyFor(user: string): Result<TenantPolicy, RequestError> {
    const policy = this.#snapshot?.tenantsByUser.get(user);
    if (policy?.enabled === true) return ok(policy);
    return err(new NotRunError('tenant-revoked', 'no such tenant, or its access was revoked'));
  }

  #onCaller(connection: CallerConnection): void {
    const session = new GatewaySession(connection, {
      client: this.#client,
      sessionKeys: this.#sessionKeys,
      directory: this.#directory,
      policyOf: (tenant) => this.#policyOf(tenant),
      zone: this.#settings.zone,
      nextRequestId: () => this.#nextRequestId(),
      metrics: this.options.metrics,
      onClosed: () => this.#sessions.remove(session),
    });
    this.#sessions.add(session);
    void session.begin();
  }

  #nextRequestId(): string {
    this.#requestsNumbered += 1;
    return `${this.#identity.nodeId}-${this.#identity.incarnation.toString(36)}-${this.#requestsNumbered}`;
  }

  /** Owners divide an instance's connections evenly. */
  #connectionBudget(machine: DatabaseMachine): number {
    const shared = Math.max(1, machine.maxConnections - RESERVED_CONNECTIONS);
    return Math.max(1, Math.floor(shared / this.#settings.ownersPerGroup));
  }

  #connectionLimit(tenant: TenantName): number {
    const policy = this.#policyOf(tenant);
    return policy?.enabled === true ? policy.maxConnections : 0;
  }
}

/** The links of a node that is being put together, listening already. */
interface NodeLinks {
  readonly identity: NodeIdentity;
  readonly router: PeerRouter;
  readonly transport: TcpPeerTransport;
  readonly address: PeerAddress;
  readonly hash: Hash64;
}

async function openLinks(settings: Settings): Promise<Result<NodeLinks, MeadowstackError>> {
  const identity = { nodeId: settings.nodeId, incarnation: Date.now() };
  const router = new PeerRouter();
  const clusterSecret = clusterSecretOf(settings);
  const transport = new TcpPeerTransport({
    identity,
    handlers: router,
    limits: { heartbeatMs: LINK_HEARTBEAT_MS },
    events: { onLinkDown: (peer) => router.linkDown(peer) },
    ...(clusterSecret === undefined ? {} : { clusterSecret }),
  });
  const [listening, hash] = await Promise.all([transport.listen(settings.peer), loadHash64()]);
  return listening.map((address) => ({ identity, router, transport, address, hash }));
}

function selfOf(settings: Settings, links: NodeLinks): SelfDescription & FleetNode {
  return {
    ...links.identity,
    zone: settings.zone,
    host: links.address.host,
    peerPort: links.address.port,
  };
}

function createStore(settings: Settings): StoreClient {
  return new StoreClient({
    ...DEFAULT_STORE_CLIENT_OPTIONS,
    endpoint: endpointOf(settings.store.endpoints[0] ?? ''),
    clientName: settings.nodeId,
  });
}

function createMachineList(settings: Settings): MachineListClient {
  return new MachineListClient({
    ...DEFAULT_MACHINE_LIST_OPTIONS,
    endpoint: endpointOf(settings.machines.endpoint),
    clientName: settings.nodeId,
    random: Math.random,
  });
}

function summaryOf({ nodeId, zone, status }: Member): MemberSummary {
  return { nodeId, zone, status };
}

function addressOf(node: FleetNode): PeerAddress {
  return { host: node.host, port: node.peerPort };
}

function configurationMember(node: FleetNode): ConfigurationMember {
  return { nodeId: node.nodeId, zone: node.zone, ...addressOf(node) };
}

function listedNode(proxy: ProxyMachine): ListedNode {
  return {
    nodeId: proxy.name,
    zone: proxy.zone,
    host: proxy.host,
    peerPort: proxy.peerPort,
    leaving: proxy.state === 'leaving',
  };
}

function startError(cause: MeadowstackError): ProxyStartError {
  return new ProxyStartError(`the proxy can not start: ${cause.message}`, { cause });
}

function sessionKeysOf(settings: Settings): SessionKeys {
  const [first, ...rest] = settings.session.keys.map((key) => ({
    id: key.id,
    secret: Buffer.from(key.secretHex, 'hex'),
  }));
  return [first ?? { id: 'local', secret: randomBytes(SECRET_BYTES) }, ...rest];
}

/** The same on all nodes, so that unknown users can't be told by salts that differ. */
function mockSecretOf([key]: SessionKeys): Buffer {
  return createHmac('sha256', key.secret).update('mock authentication').digest();
}

/** Quiet groups are probed this many times more slowly. */
const QUIET_PROBE_FACTOR = 5;

function probeTimingOf({ probe }: Settings): Partial<GroupTiming> {
  return {
    probePeriodMs: probe.intervalMs,
    quietProbePeriodMs: probe.intervalMs * QUIET_PROBE_FACTOR,
    fastProbePeriodMs: probe.suspectIntervalMs,
    probeTimeoutMs: probe.timeoutMs,
  };
}

function clusterSecretOf(settings: Settings): Buffer | undefined {
  const { secretHex } = settings.peer;
  return secretHex === undefined ? undefined : Buffer.from(secretHex, 'hex');
}

function callerTlsOf(settings: Settings): CallerTlsOptions | undefined {
  const { tls } = settings.callers;
  if (tls === undefined) return undefined;
  return {
    certificate: readFileSync(tls.certificateFile, 'utf8'),
    privateKey: readFileSync(tls.keyFile, 'utf8'),
  };
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
