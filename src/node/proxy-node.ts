/**
 * One proxy process put together: gateway, owner, links to peers, platform clients, configuration.
 * Serves no caller before a configuration is in hand; a planned stop cuts no request in progress.
 */
import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import type { ConfigurationSnapshot, TenantPolicy } from '../core/configuration/model.js';
import { MeadowstackError, NotRunError, type RequestError } from '../core/errors.js';
import { DatabaseGroup } from '../core/group/database-group.js';
import type { GroupName } from '../core/request.js';
import { RetryBudget } from '../core/retry/budget.js';
import type { SessionKeys } from '../core/session/index.js';
import type { Logger } from '../observability/logger.js';
import type { NodeIdentity, PeerAddress, WireValue } from '../peer/contract.js';
import { TcpPeerTransport } from '../peer/transport.js';
import type { DatabaseMachine, Machine } from '../platform/contract.js';
import {
  DEFAULT_MACHINE_LIST_OPTIONS,
  MachineListClient,
} from '../platform/machine-list-client.js';
import { DEFAULT_STORE_CLIENT_OPTIONS, StoreClient } from '../platform/store-client.js';
import type { CallerTlsOptions } from '../postgres/caller/options.js';
import { CallerServer } from '../postgres/caller/server.js';
import type { CallerConnection } from '../postgres/contract.js';
import { CallerAdmission } from './caller-admission.js';
import { monotonicNow } from './clock.js';
import { ConfigurationService } from './configuration/service.js';
import { endpointOf } from './endpoints.js';
import { EMPTY_FLEET, type Fleet, fleetOf } from './fleet.js';
import { GatewaySession } from './gateway/gateway-session.js';
import { GroupClient } from './gateway/group-client.js';
import { HomeNodeDirectory } from './gateway/home-node-directory.js';
import type { RequestMetrics } from './gateway/request-metrics.js';
import { SessionRegistry } from './gateway/session-registry.js';
import { BackendConnector } from './owner/backend-connector.js';
import { OwnerService } from './owner/owner-service.js';
import { OwnerDirectory, rankNodes } from './owner-directory.js';
import type { Settings } from './settings.js';
import { groupPolicyOf, OUR_POLICY } from './test-policy.js';

const SECRET_BYTES = 32;
/** Connections of each instance that owners leave to operators and probes. */
const RESERVED_CONNECTIONS = 2;
const DRAIN_POLL_MS = 20;
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
  readonly #settings: Settings;
  readonly #logger: Logger;
  readonly #identity: NodeIdentity;
  readonly #transport: TcpPeerTransport;
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
  readonly #admission: CallerAdmission;
  readonly #sessionKeys: SessionKeys;
  #fleet: Fleet = EMPTY_FLEET;
  #snapshot: ConfigurationSnapshot | undefined;
  #requestsNumbered = 0;
  #draining: Promise<void> | undefined;

  constructor(readonly options: ProxyOptions) {
    const { settings } = options;
    this.#settings = settings;
    this.#logger = options.logger;
    this.#identity = { nodeId: settings.nodeId, incarnation: Date.now() };
    this.#sessionKeys = sessionKeysOf(settings);
    this.#transport = new TcpPeerTransport({
      identity: this.#identity,
      handlers: {
        onStream: (header, stream) => this.#owner.accept(header, stream),
        onCall: (method, body, from) => this.#onCall(method, body, from),
      },
    });
    this.#store = new StoreClient({
      ...DEFAULT_STORE_CLIENT_OPTIONS,
      endpoint: endpointOf(settings.store.endpoints[0] ?? ''),
      clientName: settings.nodeId,
    });
    this.#machineList = new MachineListClient({
      ...DEFAULT_MACHINE_LIST_OPTIONS,
      endpoint: endpointOf(settings.machines.endpoint),
      clientName: settings.nodeId,
      random: Math.random,
    });
    this.#owners = new OwnerDirectory({
      nodeId: settings.nodeId,
      ownersPerGroup: settings.ownersPerGroup,
    });
    this.#connector = new BackendConnector(settings.backend);
    this.#owner = this.#createOwner();
    this.#directory = new HomeNodeDirectory({
      nodeId: settings.nodeId,
      transport: this.#transport,
      rank: rankNodes,
      nodes: () => this.#homeNodes(),
      now: monotonicNow,
    });
    this.#client = new GroupClient({
      ownersOf: (group) => this.#owners.ownersOf(group),
      transport: this.#transport,
      acceptLocal: (header, stream) => this.#owner.accept(header, stream),
      retryBudget: new RetryBudget(RETRY_BUDGET),
      now: monotonicNow,
    });
    this.#admission = new CallerAdmission((policy) => this.#connectionShare(policy));
    this.#callers = this.#createCallerServer();
    this.#configuration = this.#createConfiguration();
  }

  /** Resolves once callers are served. */
  start(): ResultAsync<ProxyAddresses, ProxyStartError> {
    return new ResultAsync(this.#start());
  }

  /** Planned stop: resolves once every session has ended or the drain limit has passed. */
  drain(): Promise<void> {
    this.#draining ??= this.#drain();
    return this.#draining;
  }

  get ready(): boolean {
    return this.#snapshot !== undefined && this.#draining === undefined;
  }

  /** What `meadowstack status` shows. */
  status(): WireValue {
    const groups = [...this.#owner.statistics()].map(([group, figures]) => ({ group, ...figures }));
    return {
      nodeId: this.#identity.nodeId,
      incarnation: this.#identity.incarnation,
      zone: this.#settings.zone,
      state: this.#draining === undefined ? (this.ready ? 'serving' : 'starting') : 'leaving',
      configuration: this.#configuration.status(),
      callers: this.#callers.openConnections().length,
      sessionsKept: this.#directory.sessionCount,
      backendConnectionsOpened: this.#connector.opened,
      groups,
      peers: this.#transport.counters(),
    };
  }

  async #start(): Promise<Result<ProxyAddresses, ProxyStartError>> {
    const { peer, testPolicy } = this.#settings;
    if (testPolicy !== OUR_POLICY) this.#logger.warn('test policy in force', { testPolicy });
    const peerAddress = await this.#transport.listen(peer);
    if (peerAddress.isErr()) return err(startError(peerAddress.error));
    this.#machineList.onChange = (machines) => this.#onMachines(machines);
    this.#machineList.start();
    this.#configuration.onSnapshot = (snapshot) => this.#onSnapshot(snapshot);
    this.#configuration.start();
    await this.#configuration.ready;
    this.#onSnapshot(this.#configuration.snapshot());
    const callers = await this.#callers.listen();
    if (callers.isErr()) return err(startError(callers.error));
    this.#logger.info('serving', { callersPort: callers.value.port });
    return ok({ callers: callers.value, peer: peerAddress.value });
  }

  async #drain(): Promise<void> {
    this.#logger.info('leaving', { callers: this.#callers.openConnections().length });
    this.#callers.stopAccepting();
    for (const session of this.#sessions.all()) session.stop(new NodeStoppingError());
    const limit = monotonicNow() + this.#settings.drainLimitMs;
    while (this.#busy() && monotonicNow() < limit) await pause(DRAIN_POLL_MS);
    this.#owner.drain();
    while (this.#owner.unfinished > 0 && monotonicNow() < limit) await pause(DRAIN_POLL_MS);
    await this.#close();
    this.#logger.info('left');
  }

  #busy(): boolean {
    return this.#callers.openConnections().length > 0;
  }

  async #close(): Promise<void> {
    for (const session of this.#sessions.all()) session.cut(new NodeStoppingError());
    this.#configuration.stop();
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
      policyFor: (user) => this.#policyFor(user),
      admit: (policy) => this.#admission.admit(policy),
      handler: (connection) => this.#onCaller(connection),
    });
  }

  #createConfiguration(): ConfigurationService {
    const { settings } = this.options;
    return new ConfigurationService({
      self: {
        nodeId: settings.nodeId,
        host: settings.peer.host,
        port: settings.peer.port,
        zone: settings.zone,
      },
      store: this.#store,
      transport: this.#transport,
      members: () => this.#configurationMembers(),
      random: Math.random,
      now: monotonicNow,
    });
  }

  #configurationMembers(): ReturnType<
    ConstructorParameters<typeof ConfigurationService>[0]['members']
  > {
    return this.#fleet.proxies
      .filter((proxy) => proxy.state === 'live')
      .map((proxy) => ({
        nodeId: proxy.name,
        host: proxy.host,
        port: proxy.peerPort,
        zone: proxy.zone,
      }));
  }

  #homeNodes(): ReturnType<ConstructorParameters<typeof HomeNodeDirectory>[0]['nodes']> {
    return this.#fleet.proxies.map((proxy) => ({
      nodeId: proxy.name,
      address: { host: proxy.host, port: proxy.peerPort },
    }));
  }

  #onMachines(machines: readonly Machine[]): void {
    this.#fleet = fleetOf(machines);
    this.#owners.setProxies(this.#fleet.proxies);
    this.#owner.setMachines(this.#fleet.databases);
    this.#configuration.membersChanged();
  }

  #onSnapshot(snapshot: ConfigurationSnapshot): void {
    this.#snapshot = snapshot;
    this.#owner.setConfiguration(snapshot);
    this.#sessions.apply(
      (tenant) => this.#policyOf(tenant),
      (policy) => this.#connectionShare(policy),
    );
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

  async #onCall(method: string, body: WireValue, from: NodeIdentity): Promise<WireValue> {
    if (this.#configuration.handles(method)) return this.#configuration.onCall(method, body, from);
    return this.#directory.onCall(method, body);
  }

  /** Owners divide an instance's connections evenly. */
  #connectionBudget(machine: DatabaseMachine): number {
    const shared = Math.max(1, machine.maxConnections - RESERVED_CONNECTIONS);
    return Math.max(1, Math.floor(shared / this.#settings.ownersPerGroup));
  }

  #connectionShare(policy: TenantPolicy): number {
    const proxies = this.#fleet.proxies.filter((proxy) => proxy.state === 'live').length;
    return Math.ceil(policy.maxConnections / Math.max(1, proxies));
  }
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
