/**
 * The gateway role of a node: accepts callers' connections, runs their sessions, and enforces the
 * limits and access rules of the current configuration.
 */
import { err, ok, type Result, type ResultAsync } from 'neverthrow';
import type { ConfigurationSnapshot, TenantPolicy } from '../../core/configuration/model.js';
import { NotRunError, type RequestError } from '../../core/errors.js';
import type { TenantName } from '../../core/request.js';
import { RetryBudget } from '../../core/retry/budget.js';
import type { SessionKeys } from '../../core/session/index.js';
import { NodeRanker } from '../../core/session/node-ranker.js';
import type { ListenError } from '../../postgres/caller/errors.js';
import { type CallerAddress, CallerServer } from '../../postgres/caller/server.js';
import type { CallerConnection } from '../../postgres/contract.js';
import { monotonicNow } from '../clock.js';
import type { FleetView } from '../fleet-view.js';
import { TenantLimitService } from '../limits/service.js';
import type { NodeLinks } from '../node-links.js';
import type { OwnerService } from '../owner/owner-service.js';
import type { OwnerDirectory } from '../owner-directory.js';
import type { Settings } from '../settings.js';
import { callerTlsOf, mockSecretOf, sessionKeysOf } from '../settings-values.js';
import { GatewaySession } from './gateway-session.js';
import { GroupClient } from './group-client.js';
import { HomeNodeDirectory } from './home-node-directory.js';
import type { RequestMetrics } from './request-metrics.js';
import { SESSION_GRACE_MS, SessionRegistry } from './session-registry.js';

const RETRY_BUDGET = { ratio: 0.1, capacity: 100 };

/** Dependencies of the gateway. */
export interface GatewayServiceOptions {
  readonly settings: Settings;
  readonly links: NodeLinks;
  readonly metrics: RequestMetrics;
  readonly ownerDirectory: OwnerDirectory;
  /** The owner role of this node. */
  readonly ownerService: OwnerService;
  readonly fleetView: FleetView;
}

/** The gateway role of a node: its callers, their sessions and limits. */
export class GatewayService {
  readonly #options: GatewayServiceOptions;
  readonly #sessions = new SessionRegistry();
  readonly #sessionKeys: SessionKeys;
  readonly #client: GroupClient;
  readonly #callers: CallerServer;
  /** Enforces the tenants' connection limits across the fleet. */
  readonly limits: TenantLimitService;
  /** Stores the positions of sessions that have an id. */
  readonly homeNodeDirectory: HomeNodeDirectory;
  #snapshot: ConfigurationSnapshot | undefined;
  #requestCount = 0;

  constructor(options: GatewayServiceOptions) {
    this.#options = options;
    this.#sessionKeys = sessionKeysOf(options.settings);
    this.homeNodeDirectory = this.#createDirectory();
    this.#client = this.#createClient();
    this.limits = this.#createLimits();
    this.#callers = this.#createCallerServer();
  }

  /** Starts accepting callers. */
  listen(): ResultAsync<CallerAddress, ListenError> {
    this.limits.start();
    return this.#callers.listen();
  }

  get callerCount(): number {
    return this.#callers.openConnections().length;
  }

  /** Accepts no new callers, and ends each session once it has no open request or transaction. */
  stopAccepting(error: RequestError): void {
    this.#callers.stopAccepting();
    for (const session of this.#sessions.all()) session.endWhenIdle(error);
  }

  /** Ends all sessions that are still open and closes the server. */
  async close(error: RequestError): Promise<void> {
    for (const session of this.#sessions.all()) session.endNow(error);
    await this.limits.stop(error);
    await this.#callers.close();
  }

  /** Applies a new configuration. Revoked access and lowered limits also end open sessions. */
  setConfiguration(snapshot: ConfigurationSnapshot): void {
    const previous = this.#snapshot;
    this.#snapshot = snapshot;
    this.#sessions.applyPolicies((tenant) => this.#policyOf(tenant));
    for (const [tenant, policy] of snapshot.tenantsByName) {
      const previousPolicy = previous?.tenantsByName.get(tenant);
      if (previousPolicy?.maxConnections !== policy.maxConnections)
        this.limits.handleLimitChanged(tenant);
    }
  }

  #policyOf(tenant: string): TenantPolicy | undefined {
    return this.#snapshot?.tenantsByName.get(tenant);
  }

  #policyOfUser(user: string): Result<TenantPolicy, RequestError> {
    const policy = this.#snapshot?.tenantsByUser.get(user);
    if (policy?.enabled === true) return ok(policy);
    return err(new NotRunError('tenant-revoked', 'no such tenant, or its access was revoked'));
  }

  #onCaller(connection: CallerConnection): void {
    const session = new GatewaySession(connection, {
      client: this.#client,
      sessionKeys: this.#sessionKeys,
      directory: this.homeNodeDirectory,
      policyOf: (tenant) => this.#policyOf(tenant),
      zone: this.#options.settings.zone,
      nextRequestId: () => this.#nextRequestId(),
      metrics: this.#options.metrics,
      onClosed: () => this.#sessions.remove(session),
    });
    this.#sessions.add(session);
    void session.start();
  }

  #nextRequestId(): string {
    this.#requestCount += 1;
    return `${this.#options.links.identity.nodeId}-${this.#options.links.identity.incarnation.toString(36)}-${this.#requestCount}`;
  }

  #connectionLimit(tenant: TenantName): number {
    const policy = this.#policyOf(tenant);
    return policy?.enabled === true ? policy.maxConnections : 0;
  }

  #createCallerServer(): CallerServer {
    const { callers } = this.#options.settings;
    const tls = callerTlsOf(this.#options.settings);
    return new CallerServer({
      host: callers.host,
      port: callers.port,
      ...(tls === undefined ? {} : { tls }),
      mockSecret: mockSecretOf(this.#sessionKeys),
      policyFor: (user) => this.#policyOfUser(user),
      admit: (policy) => this.limits.admit(policy),
      handler: (connection) => this.#onCaller(connection),
    });
  }

  #createLimits(): TenantLimitService {
    return new TenantLimitService({
      identity: this.#options.links.identity,
      transport: this.#options.links.transport,
      hash: this.#options.links.hash,
      limitOf: (tenant) => this.#connectionLimit(tenant),
      now: monotonicNow,
      graceMs: SESSION_GRACE_MS,
      onShareLowered: (tenant, allowed) => this.#sessions.endNewestBeyond(tenant, allowed),
    });
  }

  #createDirectory(): HomeNodeDirectory {
    return new HomeNodeDirectory({
      nodeId: this.#options.settings.nodeId,
      transport: this.#options.links.transport,
      rank: new NodeRanker(this.#options.links.hash).rank,
      nodes: () => this.#options.fleetView.homeNodes(),
      now: monotonicNow,
    });
  }

  #createClient(): GroupClient {
    return new GroupClient({
      ownersOf: (group) => this.#options.ownerDirectory.ownersOf(group),
      transport: this.#options.links.transport,
      onOwnerRefused: (group) => this.#options.ownerDirectory.handleRefusal(group),
      acceptLocal: (message, stream) => this.#options.ownerService.acceptOpen(message, stream),
      retryBudget: new RetryBudget(RETRY_BUDGET),
      now: monotonicNow,
    });
  }
}
