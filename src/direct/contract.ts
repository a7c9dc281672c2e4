/**
 * Contracts of the direct gateway: a node that serves callers over a statement protocol and holds its
 * own connections to every database instance. The platform's spelling of all this (wire, store,
 * documents) stands behind these interfaces; nothing here knows it.
 */
import type { ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import type { Position } from '../core/position.js';
import type { RouteType } from '../core/tenancy/route-template.js';
import type { Milliseconds } from '../core/units.js';
import type { PeerAddress } from '../peer/contract.js';

export type RouteConsistency = RouteType;

/** One database name that callers may open, and how its requests are served. */
export interface RouteDescription {
  readonly name: string;
  /** The database's name as callers give it at start. */
  readonly database: string;
  /** Database group that serves it. */
  readonly service: string;
  readonly consistency: RouteConsistency;
  /** Greatest age of what a read may miss; 0 on `primary` routes. */
  readonly maxStalenessMs: Milliseconds;
  /** Bound of one statement. */
  readonly timeoutMs: Milliseconds;
  /** Aim for one operation. */
  readonly targetLatencyMs: Milliseconds;
  /** 0 is the highest. */
  readonly priority: number;
  /** Callers need no key; where the configuration names no tenants, they need none anywhere. */
  readonly isPublic?: boolean;
}

/** One database group as the operator declares it. */
export interface ServiceDescription {
  readonly name: string;
  /** Connections that one instance takes from all its callers. */
  readonly maxConnections: number;
  /** Replicas that must have received a commit before it is acknowledged. */
  readonly syncReplicas: number;
}

/** What one tenant may run on all nodes together. */
export interface TenantQuota {
  readonly ratePerSecond: number;
  /** Operations beyond the rate that may come at once. */
  readonly burst: number;
}

/** How far the quotas of tenants may be missed. */
export interface QuotaBounds {
  /** Operations beyond its limit that a tenant may run in a window. */
  readonly slack: number;
}

/** A tenant as the operator declares it. Keys are secrets: only what stands for them is known here. */
export interface TenantDescription {
  readonly name: string;
  readonly keyDigests: readonly string[];
  /** Absent if nothing bounds it. */
  readonly quota: TenantQuota | undefined;
}

/** The operator's configuration; `version` only grows. */
export interface PublishedConfiguration {
  readonly version: number;
  readonly routes: readonly RouteDescription[];
  readonly services: readonly ServiceDescription[];
  /** Who may use the routes that are not public; absent where callers give no keys. */
  readonly tenants?: readonly TenantDescription[];
  /** A transaction at rest for longer may be ended. */
  readonly transactionIdleMs: Milliseconds;
}

export type InstanceRole = 'primary' | 'replica';

/** One database instance as it announces itself. */
export interface InstanceEntry {
  /** Of one life: an instance that starts again under its id and holds nothing of before is another one. */
  readonly id: string;
  /** What all its lives have in common; absent where the platform does not tell them apart. */
  readonly lifeOf?: string | undefined;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly slots: number;
  readonly draining: boolean;
  /** As the instance sees itself. */
  readonly role: InstanceRole;
}

/** What an instance says of itself. */
export interface InstanceStatus {
  readonly role: InstanceRole;
  readonly term: number;
  /** Last position of the log it has received. */
  readonly received: Position;
  /** Term that a pause holds it at; 0 if none. */
  readonly heldTerm: number;
  readonly lagMs: Milliseconds;
  readonly busySlots: number;
  readonly connections: number;
}

/** Calls to one instance that concern its place in the group. Every failure is typed. */
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
  /** Ends connections kept for this purpose. */
  close(): void;
}

export type PromoteOutcome =
  /** Accepted, or it leads already. */
  | 'accepted'
  /** The instance is not running, or another reason that will not pass by asking again. */
  | 'refused'
  /** Nothing was done; ask again later. */
  | 'busy'
  /** No answer; it may take effect yet. */
  | 'unknown';

/** Asks the platform to make an instance the primary of its service. */
export interface PromotionCaller {
  promote(
    service: string,
    instanceId: string,
    holder: string,
    fencingToken: number,
  ): Promise<PromoteOutcome>;
}

/** Links between the nodes. */
export interface PeerSettings {
  /** Where this node takes links. */
  readonly own: PeerAddress;
  /** Where other nodes may be; some of them may be gone. */
  readonly seeds: readonly PeerAddress[];
  /** The same text on all nodes of one deployment, and another elsewhere. */
  readonly deployment: string;
}

/** Settings of one direct gateway. */
export interface DirectSettings {
  readonly nodeName: string;
  readonly zone: string;
  readonly callers: { readonly host: string; readonly port: number };
  readonly readiness: { readonly host: string; readonly port: number };
  /** Where the node tells its figures; absent where no port is given for it. */
  readonly metrics: { readonly host: string; readonly port: number } | undefined;
  /** Where other nodes reach this one for connections that it owns; absent where no port is given for it. */
  readonly peer: { readonly host: string; readonly port: number } | undefined;
  readonly store: {
    readonly host: string;
    readonly port: number;
    readonly minimumLeaseMs: Milliseconds;
  };
  /** For snapshots; absent where the node has no address for such links besides `peer`. */
  readonly peers: PeerSettings | undefined;
  /** Absent where the platform gives no promotion call. */
  readonly promotion: { readonly host: string; readonly port: number } | undefined;
  /** What this node's link carries, as far as it is known. */
  readonly linkMbps?: number | undefined;
  /** The whole system starts for the first time, with no record of the fleet yet. */
  readonly isFirstStart: boolean;
  /**
   * Nothing may run with a key so long after the operator took it away, on whatever node; absent where only nodes in
   * touch with the store are bound.
   */
  readonly revocationMs?: Milliseconds | undefined;
  /** Absent where tenants have no quotas; nodes share these out among themselves. */
  readonly quotas?: QuotaBounds | undefined;
  readonly gracePeriodMs: Milliseconds;
  readonly drainTimeoutMs: Milliseconds;
}
