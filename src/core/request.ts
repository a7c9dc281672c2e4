/**
 * A request to a database group, independent of wire protocol and sockets. The PostgreSQL gateway
 * builds requests from statements; simulations and tests build them directly.
 */
import type { Position } from './position.js';
import type { Milliseconds } from './units.js';

/** Identifies a request within one owner; unique for the lifetime of the process. */
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

/** `read` only if the statement certainly changes nothing. */
export type Access = 'read' | 'write';

/**
 * What the session has already written or read in this group, and must still see.
 * `known`: everything up to `position`. `unknown`: the position is not known, so a read needs a
 * primary that a majority confirms.
 */
export type SessionRequirement =
  | { readonly type: 'known'; readonly position: Position }
  | { readonly type: 'unknown' };

/** A request with everything that determines where it may run and how long it may wait. */
export interface GroupRequest {
  readonly id: RequestId;
  readonly tenant: TenantName;
  readonly databaseRole: DatabaseRole;
  /** Database name on the back end. */
  readonly database: string;
  readonly access: Access;
  /** Request kind from the caller's marker, such as `unlock`; `default` if unmarked. */
  readonly kind: string;
  /** Scheduling weight relative to other kinds of this tenant; 1 is the ordinary weight. */
  readonly weight: number;
  /** Maximum age of the data that a read may see; 0 means that it must read from the primary. */
  readonly stalenessBoundMs: Milliseconds;
  /** True if the request is idempotent: reads, and writes of a kind declared repeatable. */
  readonly repeatable: boolean;
  readonly session: SessionRequirement;
  /** Time on the owner's clock after which the caller no longer waits. */
  readonly deadline: Milliseconds;
  /** How long the connection stays assigned. `transaction`: until `run-finished` reports the transaction's end. */
  readonly hold: 'statement' | 'transaction';
  /** Zone of the gateway, for zone-aware selection of a replica. */
  readonly zone: ZoneName;
}
