/**
 * The gateway job of a node: takes callers, holds their sessions, and keeps them to what the
 * configuration in force allows.
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

/** What the gateway is made of. */
export interface GatewayServiceOptions {
  readonly settings: Settings;
  readonly links: NodeLinks;
  readonly metrics: RequestMetrics;
  readonly owners: OwnerDirectory;
  /** This node's own owner job. */
  readonly owner: OwnerService;
  readonly fleet: FleetView;
}

/** The gateway's part of a node: its callers, their sessions and limits. */
export class GatewayService {
  readonly #options: GatewayServiceOptions;
  readonly #sessions = new SessionRegistry();
  readonly #sessionKeys: SessionKeys;
  readonly #client: GroupClient;
  readonly #callers: CallerServer;
  /** Connections of tenants over the whole fleet. */
  readonly limits: TenantLimitService;
  /** Positions of sessions that have an id. */
  readonly directory: HomeNodeDirectory;
  #snapshot: ConfigurationSnapshot | undefined;
  #requestsNumbered = 0;

  constructor(options: GatewayServiceOptions) {
    this.#options = options;
    this.#sessionKeys = sessionKeysOf(options.settings);
    this.directory = this.#createDirectory();
    this.#client = this.#createClient();
    this.limits = this.#createLimits();
    this.#callers = this.#createCallerServer();
  }

  /** Begins to take callers. */
  listen(): ResultAsync<CallerAddress, ListenError> {
    this.limits.start();
    return this.#callers.listen();
  }

  get callerCount(): number {
    return this.#callers.openConnections().length;
  }

  /** Takes no new callers, and ends each session as soon as no request or transaction is open. */
  stopAccepting(error: RequestError): void {
    this.#callers.stopAccepting();
    for (const session of this.#sessions.all()) session.stop(error);
  }

  /** Ends whatever is still open. */
  async close(error: RequestError): Promise<void> {
    for (const session of this.#sessions.all()) session.cut(error);
    await this.limits.stop(error);
    await this.#callers.close();
  }

  /** The configuration in force: what it takes away bites on open sessions too. */
  setConfiguration(snapshot: ConfigurationSnapshot): void {
    const previous = this.#snapshot;
    this.#snapshot = snapshot;
    this.#sessions.applyPolicies((tenant) => this.#policyOf(tenant));
    for (const [tenant, policy] of snapshot.tenantsByName) {
      const before = previous?.tenantsByName.get(tenant);
      if (before?.maxConnections !== policy.maxConnections) this.limits.handleLimitChanged(tenant);
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
      directory: this.directory,
      policyOf: (tenant) => this.#policyOf(tenant),
      zone: this.#options.settings.zone,
      nextRequestId: () => this.#nextRequestId(),
      metrics: this.#options.metrics,
      onClosed: () => this.#sessions.remove(session),
    });
    this.#sessions.add(session);
    void session.begin();
  }

  #nextRequestId(): string {
    this.#requestsNumbered += 1;
    return `${this.#options.links.identity.nodeId}-${this.#options.links.identity.incarnation.toString(36)}-${this.#requestsNumbered}`;
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
      policyFor: (user) => this.#policyFor(user),
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
      onShareLowered: (tenant, allowed) => this.#sessions.endBeyond(tenant, allowed),
    });
  }

  #createDirectory(): HomeNodeDirectory {
    return new HomeNodeDirectory({
      nodeId: this.#options.settings.nodeId,
      transport: this.#options.links.transport,
      rank: new NodeRanker(this.#options.links.hash).rank,
      nodes: () => this.#options.fleet.homeNodes(),
      now: monotonicNow,
    });
  }

  #createClient(): GroupClient {
    return new GroupClient({
      ownersOf: (group) => this.#options.owners.ownersOf(group),
      transport: this.#options.links.transport,
      onOwnerRefused: (group) => this.#options.owners.onRefused(group),
      acceptLocal: (message, stream) => this.#options.owner.acceptOpen(message, stream),
      retryBudget: new RetryBudget(RETRY_BUDGET),
      now: monotonicNow,
    });
  }
}
