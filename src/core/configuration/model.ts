/**
 * Declarations that operators publish, and the policy that follows from them for each tenant.
 * A template has typed parameters with defaults and bounds; a tenant names a template and gives
 * values for its parameters. Template fields refer to parameters by `{ parameter: name }`.
 */
import type { GroupName, TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** Orders all versions of all declarations: the store's revision. */
export type ConfigurationRevision = number;

/** How one kind of request is served. Kinds are named by the tenant's markers; `default` is the rest. */
export interface RequestKindPolicy {
  readonly kind: string;
  /** Greatest age of data a read of this kind may see, in ms; 0 means the primary. */
  readonly stalenessBoundMs: Milliseconds;
  /** True if running a write of this kind twice is harmless. */
  readonly repeatable: boolean;
  /** Share of service relative to the tenant's other kinds. */
  readonly weight: number;
  /** How long a caller of this kind waits at most, unless it says otherwise. */
  readonly deadlineMs: Milliseconds;
}

/** A database name that callers may connect to, and the group that stands behind it. */
export interface DatabaseAccess {
  /** Name in the caller's start-up message. */
  readonly database: string;
  readonly group: GroupName;
  /** Database name on the back end. */
  readonly backendDatabase: string;
}

/** The effective policy of one tenant: its template with its parameters filled in. */
export interface TenantPolicy {
  readonly tenant: TenantName;
  /** User name in the caller's start-up message; unique over all tenants. */
  readonly user: string;
  /** `SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>`, PostgreSQL's own form. */
  readonly scramVerifier: string;
  /** Role on the back ends; connections are never shared between roles. */
  readonly databaseRole: string;
  readonly databases: readonly DatabaseAccess[];
  /** Caller connections over the whole fleet. */
  readonly maxConnections: number;
  /** Requests running or queued at once, per group. */
  readonly maxInFlight: number;
  /** Requests queued at once, per group. */
  readonly maxQueued: number;
  /** Back-end connections held at once, per group. */
  readonly maxBackendConnections: number;
  /** How long an open transaction may hold its connection while its caller sends nothing. */
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

/** Everything in force at one revision. Immutable; a new one replaces it whole. */
export interface ConfigurationSnapshot {
  readonly revision: ConfigurationRevision;
  readonly tenantsByUser: ReadonlyMap<string, TenantPolicy>;
  readonly tenantsByName: ReadonlyMap<TenantName, TenantPolicy>;
}
