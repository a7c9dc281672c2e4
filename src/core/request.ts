/**
 * A request as the core sees it: no wire protocol, no sockets. The PostgreSQL gateway builds these
 * from statements; any other front end (a bench, a test) can build them directly.
 */
import type { Position } from './position.js';
import type { Milliseconds } from './units.js';

/** Identifies a request within one owner; unique for the life of the process. */
export type RequestId = string;
/** Name of a tenant. */
export type TenantName = string;
/** Name of a database group. */
export type GroupName = string;
/** Name of a database instance. */
export type InstanceName = string;
/** Name of a zone. */
export type ZoneName = string;
/** A database role (PostgreSQL user) on the back ends. Connections are never shared between roles. */
export type DatabaseRole = string;

/** `read` only if the statement surely changes nothing. */
export type Access = 'read' | 'write';

/**
 * What is known of the session's own past in this group.
 * `known`: must see everything up to `position`. `unknown`: the position can't be told, so a read
 * needs a primary that a majority confirms.
 */
export type SessionRequirement =
  | { readonly type: 'known'; readonly position: Position }
  | { readonly type: 'unknown' };

/** Everything that decides where one request may run and whether it may wait. */
export interface GroupRequest {
  readonly id: RequestId;
  readonly tenant: TenantName;
  readonly databaseRole: DatabaseRole;
  /** Database name on the back end. */
  readonly database: string;
  readonly access: Access;
  /** Request kind by the caller's marker, such as `unlock`; `default` if unmarked. */
  readonly kind: string;
  /** Share of service relative to other kinds of this tenant; 1 is ordinary. */
  readonly weight: number;
  /** Greatest age of the data a read may see; 0 means it must read from the primary. */
  readonly stalenessBoundMs: Milliseconds;
  /** True if running it twice is harmless (reads, and writes marked so). */
  readonly repeatable: boolean;
  readonly session: SessionRequirement;
  /** Point on the owner's clock after which the caller no longer waits. */
  readonly deadline: Milliseconds;
  /** `transaction`: the connection stays assigned until `run-finished` reports the transaction's end. */
  readonly hold: 'statement' | 'transaction';
  /** Zone of the gateway, for zone-aware replica choice. */
  readonly zone: ZoneName;
}
