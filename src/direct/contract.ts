/**
 * Contracts of the direct gateway: a node that serves callers over a statement protocol and holds its
 * own connections to every database instance. Platform specifics (wire format, store, documents) are
 * hidden behind these interfaces.
 */
import type { ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import type { Position } from '../core/position.js';
import type { RouteType } from '../core/tenancy/route-template.js';
import type { Milliseconds } from '../core/units.js';
import type { PeerAddress } from '../peer/contract.js';

export type RouteConsistency = RouteType;

/** A database name that callers may connect to, and how its requests are served. */
export interface RouteDescription {
  readonly name: string;
  /** Database name that callers send when they connect. */
  readonly database: string;
  /** Database group that serves the route. */
  readonly service: string;
  readonly consistency: RouteConsistency;
  /** Maximum age of a commit that a read may not see yet; 0 on `primary` routes. */
  readonly maxStalenessMs: Milliseconds;
  /** Timeout of one statement. */
  readonly timeoutMs: Milliseconds;
  /** Latency target of one operation. */
  readonly targetLatencyMs: Milliseconds;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Callers need no key for this route. A configuration without tenants requires no key on any route. */
  readonly isPublic?: boolean;
}

/** A database group as the operator declares it. */
export interface ServiceDescription {
  readonly name: string;
  /** Maximum connections of one instance, over all its clients. */
  readonly maxConnections: number;
  /** Number of replicas that must have received a commit before it is acknowledged. */
  readonly syncReplicas: number;
}

/** Rate limit of one tenant over all nodes together. */
export interface TenantQuota {
  readonly ratePerSecond: number;
  /** Operations allowed at once beyond the rate. */
  readonly burst: number;
}

/** Permitted error of tenant quotas. */
export interface QuotaBounds {
  /** Operations by which a tenant may exceed its limit in one window. */
  readonly slack: number;
}

/** A tenant as the operator declares it. Keys are secrets: only their digests are kept here. */
export interface TenantDescription {
  readonly name: string;
  readonly keyDigests: readonly string[];
  /** Undefined if the tenant has no quota. */
  readonly quota: TenantQuota | undefined;
}

/** The operator's configuration; `version` only increases. */
export interface PublishedConfiguration {
  readonly version: number;
  readonly routes: readonly RouteDescription[];
  readonly services: readonly ServiceDescription[];
  /** Tenants that may use the routes that are not public; absent where callers send no keys. */
  readonly tenants?: readonly TenantDescription[];
  /** A transaction that is idle for longer may be aborted. */
  readonly transactionIdleMs: Milliseconds;
}

export type InstanceRole = 'primary' | 'replica';

/** A database instance as it registers itself in the store. */
export interface InstanceEntry {
  /** Id of one incarnation: an instance that restarts without its earlier state gets another id. */
  readonly id: string;
  /** Id shared by all incarnations of the instance; absent where the platform does not distinguish them. */
  readonly lifeOf?: string | undefined;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Role that the instance itself reports. */
  readonly role: InstanceRole;
}

/** State that an instance reports about itself. */
export interface InstanceStatus {
  readonly role: InstanceRole;
  readonly term: number;
  /** Last log position that it has received. */
  readonly received: Position;
  /** Term of the pause that stops it from receiving; 0 if it is not paused. */
  readonly heldTerm: number;
  readonly lagMs: Milliseconds;
  readonly busySlots: number;
  readonly connections: number;
  /** Time since which the connection has been open on which it responded; absent for one opened for the call. */
  readonly connectedSince?: Milliseconds | undefined;
}

/** Calls that query or change an instance's role in its group. Every failure is typed. */
export interface InstanceControl {
  status(
    instance: InstanceEntry,
    timeoutMs: Milliseconds,
  ): ResultAsync<InstanceStatus, MeadowstackError>;
  /** Stops a replica from receiving until it is resumed, promoted or restarted. */
  pause(
    instance: InstanceEntry,
    term: number,
    timeoutMs: Milliseconds,
  ): ResultAsync<InstanceStatus, MeadowstackError>;
  resume(
    instance: InstanceEntry,
    timeoutMs: Milliseconds,
  ): ResultAsync<InstanceStatus, MeadowstackError>;
  /** Turns a primary of a lower term into a replica. */
  demote(
    instance: InstanceEntry,
    term: number,
    timeoutMs: Milliseconds,
  ): ResultAsync<InstanceStatus, MeadowstackError>;
  /** Closes the connections kept for these calls. */
  close(): void;
}

export type PromoteOutcome =
  /** Accepted, or the instance is the primary already. */
  | 'accepted'
  /** The instance is not running, or a retry would fail for another permanent reason. */
  | 'refused'
  /** Nothing was done; retry later. */
  | 'busy'
  /** No response; the call may still take effect. */
  | 'unknown';

/** Requests from the platform that an instance become the primary of its service. */
export interface PromotionCaller {
  promote(
    service: string,
    instanceId: string,
    holder: string,
    fencingToken: number,
  ): Promise<PromoteOutcome>;
}

/** Settings of the links between nodes. */
export interface PeerSettings {
  /** Address on which this node accepts links. */
  readonly own: PeerAddress;
  /** Addresses at which other nodes may listen; some of the nodes may no longer exist. */
  readonly seeds: readonly PeerAddress[];
  /** Identifier that is the same on all nodes of a deployment and differs between deployments. */
  readonly deployment: string;
}

/** Settings of a direct gateway. */
export interface DirectSettings {
  readonly nodeName: string;
  readonly zone: string;
  readonly callers: { readonly host: string; readonly port: number };
  readonly readiness: { readonly host: string; readonly port: number };
  /** Address of the metrics endpoint; undefined if no port is configured for it. */
  readonly metrics: { readonly host: string; readonly port: number } | undefined;
  /** Address for other nodes that borrow connections this node owns; undefined if no port is configured. */
  readonly peer: { readonly host: string; readonly port: number } | undefined;
  readonly store: {
    readonly host: string;
    readonly port: number;
    readonly minimumLeaseMs: Milliseconds;
  };
  /** Links for directory snapshots; undefined if the node has no address for them besides `peer`. */
  readonly peers: PeerSettings | undefined;
  /** Undefined where the platform has no promotion call. */
  readonly promotion: { readonly host: string; readonly port: number } | undefined;
  /** Bandwidth of this node's network link, if known. */
  readonly linkMbps?: number | undefined;
  /** Time without a heartbeat after which the registration of an instance expires, if known. */
  readonly registrationExpiryMs?: Milliseconds | undefined;
  /** The whole system starts for the first time: the store holds no record of the fleet yet. */
  readonly isFirstStart: boolean;
  /**
   * Time after the revocation of a key from which nothing may run with it on any node; absent where the
   * revocation binds only nodes that reach the store.
   */
  readonly revocationMs?: Milliseconds | undefined;
  /** Absent where tenants have no quotas. The nodes divide each quota among themselves. */
  readonly quotas?: QuotaBounds | undefined;
  readonly gracePeriodMs: Milliseconds;
  readonly drainTimeoutMs: Milliseconds;
}
