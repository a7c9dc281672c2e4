/**
 * The policy of each tenant, resolved from the declarations that operators publish: templates and
 * tenants. A template has typed parameters with defaults and bounds; a tenant names a template and
 * sets its parameters. Template fields refer to parameters by `{ parameter: name }`.
 */
import type { GroupName, TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** Revision of the store, which orders all versions of all declarations. */
export type ConfigurationRevision = number;

/** How one kind of request is served. The caller marks a request with its kind; unmarked ones are `default`. */
export interface RequestKindPolicy {
  readonly kind: string;
  /** Maximum age of the data that a read of this kind may see; 0 means that it reads from the primary. */
  readonly stalenessBoundMs: Milliseconds;
  /** True if a write of this kind is idempotent. */
  readonly repeatable: boolean;
  /** Scheduling weight relative to the tenant's other kinds. */
  readonly weight: number;
  /** Default deadline of a request of this kind, counted from its arrival. */
  readonly deadlineMs: Milliseconds;
}

/** A database name that callers may connect to, and the group that serves it. */
export interface DatabaseAccess {
  /** Database name in the caller's start-up message. */
  readonly database: string;
  readonly group: GroupName;
  /** Database name on the back end. */
  readonly backendDatabase: string;
}

/** The effective policy of one tenant: its template with the parameters substituted. */
export interface TenantPolicy {
  readonly tenant: TenantName;
  /** User name in the caller's start-up message; unique over all tenants. */
  readonly user: string;
  /** `SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>`, as PostgreSQL stores it. */
  readonly scramVerifier: string;
  /** Role on the back ends; connections are never shared between roles. */
  readonly databaseRole: string;
  readonly databases: readonly DatabaseAccess[];
  /** Maximum number of caller connections, over all proxies together. */
  readonly maxConnections: number;
  /** Maximum number of requests running or queued, per group. */
  readonly maxInFlight: number;
  /** Maximum number of queued requests, per group. */
  readonly maxQueued: number;
  /** Maximum number of back-end connections in use, per group. */
  readonly maxBackendConnections: number;
  /** An open transaction whose caller sends nothing for this time is rolled back. */
  readonly idleTransactionTimeoutMs: Milliseconds;
  readonly queueWeight: number;
  readonly requestsPerSecond: number;
  readonly burst: number;
  readonly requestKinds: readonly RequestKindPolicy[];
  /** False once an operator has revoked the tenant's access. */
  readonly enabled: boolean;
  /** Revision at which this policy last changed. */
  readonly revision: ConfigurationRevision;
}

/** All tenant policies in force at one revision. Immutable; each change creates a new snapshot. */
export interface ConfigurationSnapshot {
  readonly revision: ConfigurationRevision;
  readonly tenantsByUser: ReadonlyMap<string, TenantPolicy>;
  readonly tenantsByName: ReadonlyMap<TenantName, TenantPolicy>;
}
