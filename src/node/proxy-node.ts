/** One proxy node put together: its links, membership, configuration, gateway and owner, from start to planned stop. */
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
import { configurationMember, keptMapping, listedNode, summaryOf } from './fleet-nodes.js';
import { type FleetNode, FleetView } from './fleet-view.js';
import { GatewayService } from './gateway/gateway-service.js';
import type { RequestMetrics } from './gateway/request-metrics.js';
import { MachineListService } from './machine-list/service.js';
import { MembershipService } from './membership/service.js';
import { type NodeLinks, openLinks, selfOf } from './node-links.js';
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
import { groupPolicyOf, OUR_POLICY } from './test-policy.js';

/** Connections of each instance that owners leave to operators and probes. */
const RESERVED_CONNECTIONS = 2;
const DRAIN_POLL_MS = 20;
/** How often groups that are no longer owned, and nodes that were never heard, are looked through. */
const SWEEP_MS = 1000;

/** The proxy could not start. */
export class ProxyStartError extends MeadowstackError {
  readonly code = 'MS-PROXY-START';
}

/** Where a started proxy listens. */
export interface ProxyAddresses {
  readonly callers: PeerAddress;
  readonly peer: PeerAddress;
}

/** What a proxy node is started with. */
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
  readonly #fleet: FleetView;
  readonly #store: StoreClient;
  readonly #machineList: MachineListService;
  readonly #configuration: ConfigurationService;
  readonly #connector: BackendConnector;
  readonly #owners: OwnerDirectory;
  readonly #owner: OwnerService;
  readonly #gateway: GatewayService;
  #isConfigured = false;
  #sweepTimer: NodeJS.Timeout | undefined;
  /** Set from a change of members until the end of this event-loop turn. */
  #fleetChange: NodeJS.Immediate | undefined;
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
    this.addresses = { callers: settings.callers, peer: links.address };
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
    this.#machineList = this.#createMachineList(self, links);
    this.#owners = this.#createOwners(links);
    this.#connector = new BackendConnector(settings.backend);
    this.#owner = this.#createOwner();
    this.#gateway = new GatewayService({
      ...options,
      links,
      owners: this.#owners,
      owner: this.#owner,
      fleet: this.#fleet,
    });
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
    if (!this.#isConfigured) reasons.push('no-configuration');
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
      callers: this.#gateway.callerCount,
      sessionsKept: this.#gateway.directory.sessionCount,
      backendConnectionsOpened: this.#connector.attemptCount,
      backend: this.#connector.counters,
      storeRequests: this.#store.requestCount(),
      primaryChanges: this.#owner.primaryChanges,
      groups: [...this.#owner.statistics()].map(([group, figures]) => ({ group, ...figures })),
      members: this.#membership.members().map(summaryOf),
      machineList: this.#machineList.status(),
      membership: this.#membership.counters(),
      limits: this.#gateway.limits.status(),
      peers: this.#transport.counters(),
    };
  }

  #state(): NodeState {
    if (this.#draining !== undefined) return 'leaving';
    return this.#isConfigured ? 'serving' : 'starting';
  }

  async #serve(): Promise<Result<ProxyNode, ProxyStartError>> {
    const { testPolicy } = this.#settings;
    if (testPolicy !== OUR_POLICY) this.#logger.warn('test policy in force', { testPolicy });
    const joined = await this.#membership.start([]);
    if (joined.isErr()) return err(startError(joined.error));
    this.#membership.onMemberChanged = (event) => this.#onMemberChanged(event);
    this.#membership.onToldToLeave = () => void this.drain();
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_MS);
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
    this.#membership.leave();
    this.#fleet.setSelfLeaving();
    this.#onFleetChanged();
    this.#gateway.stopAccepting(new ServerStoppingError());
    const limit = monotonicNow() + this.#settings.drainLimitMs;
    while (this.#gateway.callerCount > 0 && monotonicNow() < limit) await pause(DRAIN_POLL_MS);
    this.#owner.drain();
    while (this.#owner.unfinishedCount > 0 && monotonicNow() < limit) await pause(DRAIN_POLL_MS);
    await this.#close();
    this.#logger.info('left');
    this.onDrained?.();
  }

  async #close(): Promise<void> {
    clearInterval(this.#sweepTimer);
    await this.#gateway.close(new ServerStoppingError());
    this.#owners.stop();
    await this.#membership.stop();
    clearImmediate(this.#fleetChange);
    await this.#configuration.stop();
    this.#machineList.stop();
    this.#owner.close();
    await this.#transport.close();
    this.#store.close();
  }

  #createOwner(): OwnerService {
    return new OwnerService({
      connector: this.#connector,
      createStateMachine: (group) => this.#createGroup(group),
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

  #createConfiguration(self: FleetNode): ConfigurationService {
    return new ConfigurationService({
      self: configurationMember(self),
      store: this.#store,
      transport: this.#transport,
      members: keptMapping(() => this.#fleet.liveNodes(), configurationMember),
      random: Math.random,
      now: monotonicNow,
    });
  }

  #createMachineList(self: FleetNode, links: NodeLinks): MachineListService {
    return new MachineListService({
      self: configurationMember(self),
      client: createMachineList(this.#settings),
      transport: links.transport,
      members: keptMapping(() => this.#fleet.liveNodes(), configurationMember),
      hash: links.hash,
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
      warm: (group) => this.#owner.warmUp(group),
      onChange: () => this.#owner.reconcile(),
    });
  }

  #route(router: PeerRouter): void {
    router.acceptStreams((header, stream) => this.#owner.accept(header, stream));
    router.onLinkDown = (peer) => this.#onLinkDown(peer);
    router.add(this.#configuration);
    router.add(this.#machineList);
    router.add(this.#gateway.directory);
    router.add(this.#gateway.limits);
    router.add(this.#owners);
    router.add({
      handles: (method) => this.#membership.handlesCall(method),
      onCall: (method, body) => this.#membership.handleCall(method, body),
    });
  }

  #onMachines(machines: readonly Machine[]): void {
    this.#fleet.setMachines(machines);
    this.#owner.setMachines(this.#fleet.databases);
    this.#owners.setGroups(this.#fleet.databases);
    this.#membership.setListedNodes(this.#fleet.listedProxies.map(listedNode));
    this.#onFleetChanged();
  }

  #onMemberChanged(event: MemberEvent): void {
    if (event.change === 'revision-changed') return;
    this.#logger.info(`member ${event.change}`, { member: event.member.nodeId });
    this.#fleet.membersChanged();
    // A node that joins learns of thousands of members in a few messages.
    this.#fleetChange ??= setImmediate(() => this.#onFleetChanged());
  }

  /** A lost link is a hint: the node behind it is probed at once. */
  #onLinkDown(peer: PeerAddress): void {
    const member = this.#membership
      .members()
      .find((candidate) => candidate.host === peer.host && candidate.peerPort === peer.port);
    if (member !== undefined) this.#membership.reportLinkLost(member.nodeId);
  }

  #sweep(): void {
    if (this.#fleet.dropSilentNodes()) this.#onFleetChanged();
    this.#owner.closeUnownedGroups();
  }

  #onFleetChanged(): void {
    clearImmediate(this.#fleetChange);
    this.#fleetChange = undefined;
    this.#owners.setNodes(this.#fleet.liveNodes());
    this.#owner.reconcile();
    this.#configuration.membersChanged();
    this.#machineList.membersChanged();
    this.#gateway.limits.setFleet(
      this.#fleet.liveNodes(),
      this.#fleet.knownNodes(),
      this.#fleet.listedNodes,
    );
  }

  #onSnapshot(snapshot: ConfigurationSnapshot): void {
    this.#isConfigured = true;
    this.#membership.setConfigurationRevision(snapshot.revision);
    this.#owner.setConfiguration(snapshot);
    this.#gateway.setConfiguration(snapshot);
  }

  /** Owners divide an instance's connections evenly. */
  #connectionBudget(machine: DatabaseMachine): number {
    const shared = Math.max(1, machine.maxConnections - RESERVED_CONNECTIONS);
    return Math.max(1, Math.floor(shared / this.#settings.ownersPerGroup));
  }
}

function startError(cause: MeadowstackError): ProxyStartError {
  return new ProxyStartError(`the proxy can not start: ${cause.message}`, { cause });
}
