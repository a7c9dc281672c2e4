/** Assembles a proxy node from its services, and runs it from start to graceful shutdown. */
import { setTimeout as pause } from 'node:timers/promises';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import type { ConfigurationSnapshot } from '../core/configuration/model.js';
import { MeadowstackError } from '../core/errors.js';
import { DatabaseGroup } from '../core/group/database-group.js';
import type { MemberEvent } from '../core/membership/contract.js';
import type { GroupName } from '../core/request.js';
import type { Readiness } from '../observability/admin-server.js';
import type { Logger } from '../observability/logger.js';
import type { NodeIdentity, PeerAddress } from '../peer/contract.js';
import type { TcpPeerTransport } from '../peer/transport.js';
import type { DatabaseMachine, Machine } from '../platform/contract.js';
import type { StoreClient } from '../platform/store-client.js';
import { ServerStoppingError } from '../postgres/caller/errors.js';
import { monotonicNow } from './clock.js';
import { ConfigurationService } from './configuration/service.js';
import {
  memoizeMapping,
  toConfigurationMember,
  toListedNode,
  toMemberSummary,
} from './fleet-nodes.js';
import { type FleetNode, FleetView } from './fleet-view.js';
import { GatewayService } from './gateway/gateway-service.js';
import type { RequestMetrics } from './gateway/request-metrics.js';
import { MachineListService } from './machine-list/service.js';
import { MembershipService } from './membership/service.js';
import { type NodeLinks, openLinks, toOwnMember } from './node-links.js';
import type { NodeState, NodeStatus } from './node-status.js';
import { BackendConnector } from './owner/backend-connector.js';
import { OwnerService } from './owner/owner-service.js';
import { OwnerDirectory } from './owner-directory.js';
import type { PeerRouter } from './peer-router.js';
import type { Settings } from './settings.js';
import {
  clusterSecretOf,
  createMachineList,
  createStore,
  probeTimingOf,
} from './settings-values.js';
import { DEFAULT_POLICY, findGroupPolicy } from './test-policy.js';

/** Connections of each instance that owners leave free for operators and probes. */
const RESERVED_CONNECTIONS = 2;
const DRAIN_POLL_PERIOD_MS = 20;
/** Interval of checks for groups no longer owned, and for listed nodes unknown to membership. */
const SWEEP_PERIOD_MS = 1000;

/** The proxy could not start. */
export class ProxyStartError extends MeadowstackError {
  readonly code = 'MS-PROXY-START';
}

/** Addresses on which a started proxy listens. */
export interface ProxyAddresses {
  readonly callers: PeerAddress;
  readonly peer: PeerAddress;
}

/** Dependencies of a proxy node. */
export interface ProxyOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: RequestMetrics;
}

/** One proxy node. */
export class ProxyNode {
  addresses: ProxyAddresses;
  readonly #settings: Settings;
  readonly #logger: Logger;
  readonly #identity: NodeIdentity;
  readonly #transport: TcpPeerTransport;
  readonly #membership: MembershipService;
  readonly #fleetView: FleetView;
  readonly #store: StoreClient;
  readonly #machineList: MachineListService;
  readonly #configuration: ConfigurationService;
  readonly #backendConnector: BackendConnector;
  readonly #ownerDirectory: OwnerDirectory;
  readonly #ownerService: OwnerService;
  readonly #gateway: GatewayService;
  #isConfigured = false;
  #sweepTimer: NodeJS.Timeout | undefined;
  /** Set when members have changed, until the change is applied in the next event-loop turn. */
  #pendingFleetChange: NodeJS.Immediate | undefined;
  #drainPromise: Promise<void> | undefined;

  private constructor(
    readonly options: ProxyOptions,
    links: NodeLinks,
  ) {
    const { settings } = options;
    this.#settings = settings;
    this.#logger = options.logger;
    this.#identity = links.identity;
    this.#transport = links.transport;
    this.addresses = { callers: settings.callers, peer: links.address };
    const self = toOwnMember(settings, links);
    this.#membership = new MembershipService({
      self,
      transport: links.transport,
      clusterSecret: clusterSecretOf(settings),
    });
    this.#fleetView = new FleetView({
      self,
      memberOf: (nodeId) => this.#membership.member(nodeId),
      members: () => this.#membership.members(),
      now: monotonicNow,
    });
    this.#store = createStore(settings);
    this.#machineList = this.#createMachineList(self, links);
    this.#ownerDirectory = this.#createOwnerDirectory(links);
    this.#backendConnector = new BackendConnector(settings.backend, options.logger);
    this.#ownerService = this.#createOwnerService();
    this.#gateway = new GatewayService({
      ...options,
      links,
      ownerDirectory: this.#ownerDirectory,
      ownerService: this.#ownerService,
      fleetView: this.#fleetView,
    });
    this.#configuration = this.#createConfiguration(self);
    this.#registerServices(links.router);
  }

  /** Starts a node; resolves once it serves callers. */
  static start(options: ProxyOptions): ResultAsync<ProxyNode, ProxyStartError> {
    return new ResultAsync(ProxyNode.#start(options));
  }

  static async #start(options: ProxyOptions): Promise<Result<ProxyNode, ProxyStartError>> {
    const links = await openLinks(options.settings);
    if (links.isErr()) return err(startError(links.error));
    const node = new ProxyNode(options, links.value);
    return node.#serve();
  }

  /** Called once the graceful shutdown is complete. */
  onDrained: (() => void) | undefined;

  /** Graceful shutdown: resolves once every session has ended or the drain limit has passed. */
  drain(): Promise<void> {
    this.#drainPromise ??= this.#drain();
    return this.#drainPromise;
  }

  /** Whether this node can serve callers. */
  readiness(): Readiness {
    const reasons: string[] = [];
    if (!this.#isConfigured) reasons.push('no-configuration');
    if (this.#drainPromise !== undefined) reasons.push('draining');
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
      callers: this.#gateway.callerCount,
      sessionsKept: this.#gateway.homeNodeDirectory.sessionCount,
      backendConnectionsOpened: this.#backendConnector.attemptCount,
      backend: this.#backendConnector.counters,
      storeRequests: this.#store.requestCount(),
      primaryChanges: this.#ownerService.primaryChanges,
      groups: [...this.#ownerService.statistics()].map(([group, statistics]) => ({
        group,
        ...statistics,
      })),
      members: this.#membership.members().map(toMemberSummary),
      machineList: this.#machineList.status(),
      membership: this.#membership.counters(),
      limits: this.#gateway.limits.status(),
      peers: this.#transport.counters(),
    };
  }

  #state(): NodeState {
    if (this.#drainPromise !== undefined) return 'leaving';
    return this.#isConfigured ? 'serving' : 'starting';
  }

  async #serve(): Promise<Result<ProxyNode, ProxyStartError>> {
    const { testPolicy } = this.#settings;
    if (testPolicy !== DEFAULT_POLICY) this.#logger.warn('test policy in force', { testPolicy });
    const joined = await this.#membership.start([]);
    if (joined.isErr()) return err(startError(joined.error));
    this.#membership.onMemberChanged = (event) => this.#onMemberChanged(event);
    this.#membership.onMarkedLeaving = () => void this.drain();
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_PERIOD_MS);
    this.#machineList.onChange = (machines) => this.#onMachines(machines);
    this.#machineList.start();
    this.#configuration.onSnapshot = (snapshot) => this.#onSnapshot(snapshot);
    this.#configuration.start();
    await this.#configuration.ready;
    this.#onSnapshot(this.#configuration.snapshot());
    const callers = await this.#gateway.listen();
    if (callers.isErr()) return err(startError(callers.error));
    this.addresses = { ...this.addresses, callers: callers.value };
    this.#logger.info('serving', { callersPort: callers.value.port });
    return ok(this);
  }

  async #drain(): Promise<void> {
    this.#logger.info('leaving', { callers: this.#gateway.callerCount });
    this.#membership.announceLeaving();
    this.#fleetView.setSelfLeaving();
    this.#onFleetChanged();
    this.#gateway.stopAccepting(new ServerStoppingError());
    const deadline = monotonicNow() + this.#settings.drainLimitMs;
    while (this.#gateway.callerCount > 0 && monotonicNow() < deadline)
      await pause(DRAIN_POLL_PERIOD_MS);
    this.#ownerService.drain();
    while (this.#ownerService.unfinishedCount > 0 && monotonicNow() < deadline)
      await pause(DRAIN_POLL_PERIOD_MS);
    await this.#close();
    this.#logger.info('left');
    this.onDrained?.();
  }

  async #close(): Promise<void> {
    clearInterval(this.#sweepTimer);
    await this.#gateway.close(new ServerStoppingError());
    this.#ownerDirectory.stop();
    await this.#membership.stop();
    clearImmediate(this.#pendingFleetChange);
    await this.#configuration.stop();
    this.#machineList.stop();
    this.#ownerService.close();
    await this.#transport.close();
    this.#store.close();
  }

  #createOwnerService(): OwnerService {
    return new OwnerService({
      connector: this.#backendConnector,
      createStateMachine: (group) => this.#createGroup(group),
      owns: (group) => this.#ownerDirectory.owns(group),
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
      ...findGroupPolicy(this.#settings.testPolicy),
    });
  }

  #createConfiguration(self: FleetNode): ConfigurationService {
    return new ConfigurationService({
      self: toConfigurationMember(self),
      store: this.#store,
      transport: this.#transport,
      members: memoizeMapping(() => this.#fleetView.liveNodes(), toConfigurationMember),
      random: Math.random,
      now: monotonicNow,
    });
  }

  #createMachineList(self: FleetNode, links: NodeLinks): MachineListService {
    return new MachineListService({
      self: toConfigurationMember(self),
      client: createMachineList(this.#settings),
      transport: links.transport,
      members: memoizeMapping(() => this.#fleetView.liveNodes(), toConfigurationMember),
      hash: links.hash,
      random: Math.random,
      now: monotonicNow,
    });
  }

  #createOwnerDirectory(links: NodeLinks): OwnerDirectory {
    return new OwnerDirectory({
      nodeId: this.#settings.nodeId,
      ownersPerGroup: this.#settings.ownersPerGroup,
      hash: links.hash,
      transport: links.transport,
      now: monotonicNow,
      warmUp: (group) => this.#ownerService.warmUp(group),
      onChange: () => this.#ownerService.reconcile(),
    });
  }

  #registerServices(router: PeerRouter): void {
    router.acceptStreams((header, stream) => this.#ownerService.accept(header, stream));
    router.onLinkDown = (peer) => this.#onLinkDown(peer);
    router.onForeignFleet = (identity, peer) => this.#onForeignFleet(identity, peer);
    router.add(this.#configuration);
    router.add(this.#machineList);
    router.add(this.#gateway.homeNodeDirectory);
    router.add(this.#gateway.limits);
    router.add(this.#ownerDirectory);
    router.add({
      handles: (method) => this.#membership.handlesCall(method),
      onCall: (method, body) => this.#membership.handleCall(method, body),
    });
  }

  #onMachines(machines: readonly Machine[]): void {
    this.#fleetView.setMachines(machines);
    this.#ownerService.setMachines(this.#fleetView.databases);
    this.#ownerDirectory.setGroups(this.#fleetView.databases);
    this.#membership.setListedNodes(this.#fleetView.listedProxies.map(toListedNode));
    this.#onFleetChanged();
  }

  #onMemberChanged(event: MemberEvent): void {
    if (event.change === 'revision-changed') return;
    this.#logger.info(`member ${event.change}`, { member: event.member.nodeId });
    this.#fleetView.membersChanged();
    // Deferred, since a joining node learns of thousands of members from a few messages.
    this.#pendingFleetChange ??= setImmediate(() => this.#onFleetChanged());
  }

  /** A node of another fleet counts as failed, wherever it was heard of: its address may have been one of this fleet. */
  #onForeignFleet(identity: NodeIdentity, peer: PeerAddress | undefined): void {
    if (!this.#membership.excludeForeign(identity)) return;
    const address = peer === undefined ? undefined : `${peer.host}:${peer.port}`;
    this.#logger.warn('node of another fleet refused', { node: identity.nodeId, address });
    this.#fleetView.membersChanged();
    this.#onFleetChanged();
  }

  /** Reports a lost link to the membership, which probes the node at the other end at once. */
  #onLinkDown(peer: PeerAddress): void {
    const member = this.#membership
      .members()
      .find((candidate) => candidate.host === peer.host && candidate.peerPort === peer.port);
    if (member !== undefined) this.#membership.reportLinkLost(member.nodeId);
  }

  #sweep(): void {
    if (this.#fleetView.dropUnconfirmedNodes()) this.#onFleetChanged();
    this.#ownerService.closeUnownedGroups();
  }

  #onFleetChanged(): void {
    clearImmediate(this.#pendingFleetChange);
    this.#pendingFleetChange = undefined;
    this.#ownerDirectory.setNodes(this.#fleetView.liveNodes());
    this.#ownerService.reconcile();
    this.#configuration.membersChanged();
    this.#machineList.handleMembersChanged();
    this.#gateway.limits.setFleet(
      this.#fleetView.liveNodes(),
      this.#fleetView.knownNodes(),
      this.#fleetView.listedNodes,
    );
  }

  #onSnapshot(snapshot: ConfigurationSnapshot): void {
    this.#isConfigured = true;
    this.#membership.setConfigurationRevision(snapshot.revision);
    this.#ownerService.setConfiguration(snapshot);
    this.#gateway.setConfiguration(snapshot);
  }

  /** This owner's share of an instance's connections: all owners get equal shares. */
  #connectionBudget(machine: DatabaseMachine): number {
    const shared = Math.max(1, machine.maxConnections - RESERVED_CONNECTIONS);
    return Math.max(1, Math.floor(shared / this.#settings.ownersPerGroup));
  }
}

function startError(cause: MeadowstackError): ProxyStartError {
  return new ProxyStartError(`the proxy cannot start: ${cause.message}`, { cause });
}
