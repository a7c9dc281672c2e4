/**
 * Messages between a node that borrows connections to an instance and an owner: a node that holds such
 * connections. Each stream of a peer link is one lease: the borrower requests a connection, receives it,
 * sends messages for the instance, receives the responses and returns the connection. If the stream ends
 * in any other way, the leased connection is closed.
 */
import type { Result } from 'neverthrow';
import type { OwnerRoster } from '../../core/ownership/owner-roster.js';
import type { Position } from '../../core/position.js';
import type { PreparedStatement } from '../../core/statements/session-values.js';
import type { StatementAnswer, StatementErrorCode } from '../../core/statements/statement.js';
import type { ConnectionPolicy } from '../../core/tenancy/allowance.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstanceEntry } from '../contract.js';
import type { InstanceConnectionLostError } from '../errors.js';
import type { InstanceConnection } from '../instance-connection.js';
import type { AcquireError, ConnectionRequest, InstancePool } from '../instance-pool.js';

/** Session values as name and value pairs; callers choose the names. */
export type ValueList = readonly (readonly [name: string, value: string])[];

/** First request of every stream: a connection to an instance, within a tenant's policy. */
interface OwnerRequest {
  readonly service: string;
  readonly instanceId: string;
  readonly tenant: string;
  /** The tenant that the connection must belong to; absent where callers send no keys. */
  readonly account?: string | undefined;
  readonly priority: number;
  /** The tenant's limits at the instance through this owner. */
  readonly policy: ConnectionPolicy;
  /** Session values; a connection that has them already is preferred. */
  readonly values: ValueList;
  /** Maximum wait for a connection. */
  readonly waitMs: Milliseconds;
  /** Time left until a response misses its latency target; absent where the borrower does not send it. */
  readonly aimMs?: Milliseconds | undefined;
  /** The borrower keeps the connection between the statements of a transaction. */
  readonly isTransaction?: true | undefined;
}

/** Opens a stream that is one lease. */
export interface LeaseRequest extends OwnerRequest {
  readonly type: 'lease';
}

/**
 * Opens a stream for one read outside any transaction, which the owner runs itself: one message each
 * way. A read that runs late does no harm, since reads are repeated anyway.
 */
export interface ReadRequest extends OwnerRequest {
  readonly type: 'read';
  readonly prepared: PreparedStatement | undefined;
  /** The statement for the instance, with the log position that the instance must have reached. */
  readonly message: string;
}

/** A message that opens a stream. */
export type StreamRequest = LeaseRequest | ReadRequest;

/** Why an owner gave no connection. Nothing was sent to the instance. */
export type LeaseRefusal =
  /** The owner is shutting down. */
  | { readonly reason: 'stopping' }
  /** According to its own roster, the receiving node does not own the instance. */
  | { readonly reason: 'not-owner' }
  /** The owner knows no such instance of this service. */
  | { readonly reason: 'unknown-instance' }
  /** The instance is draining or gone. */
  | { readonly reason: 'unusable' }
  /** No connection became free in time. */
  | { readonly reason: 'no-connection' }
  /** The tenant has reached its limit of statements waiting at the owner. */
  | { readonly reason: 'queue-full' }
  /** The owner could not connect to the instance; `answer` is the instance's response, if any. */
  | { readonly reason: 'unreachable'; readonly answer: StatementErrorCode | undefined };

/** A message from the borrower of a leased connection. */
export type LeaseCommand =
  /** Messages for the instance, passed on together. */
  | { readonly type: 'run'; readonly messages: readonly string[] }
  /** Returns the connection, which is idle and has these session values and prepared statements. */
  | {
      readonly type: 'return';
      readonly values: ValueList;
      readonly preparedNames: readonly string[];
    };

/** Sent by the borrower of a read: the read has been answered elsewhere and need not be run. */
export const CANCEL_READ = { type: 'cancel' } as const;

/** A message from the owner. */
export type LeaseEvent =
  /** The request was received and waits for a connection or a response. */
  | { readonly type: 'queued' }
  | {
      readonly type: 'granted';
      readonly values: ValueList;
      readonly preparedNames: readonly string[];
    }
  | ({ readonly type: 'refused' } & LeaseRefusal)
  /** The responses to one `run`, in its order, or the one response to a read. */
  | { readonly type: 'answers'; readonly answers: readonly StatementAnswer[] }
  /** The connection to the instance ended before all responses arrived. */
  | { readonly type: 'lost' };

/** Peer method that returns the log position of an instance from one of its owners. */
export const POSITION_METHOD = 'direct.position';

export interface PositionRequest {
  readonly service: string;
  readonly instanceId: string;
}

/** A read that the owner runs itself. */
export interface OwnerRead extends ConnectionRequest {
  readonly prepared: PreparedStatement | undefined;
  /** The statement for the instance, with the log position that the instance must have reached. */
  readonly message: string;
}

/** Why an owner returned no response to a read. The read may have run only if the connection was lost. */
export type OwnerReadError = AcquireError | InstanceConnectionLostError;

/** Provides connections to one instance, lent by the nodes that own it. */
export interface ConnectionLender {
  acquire(request: ConnectionRequest): Promise<Result<InstanceConnection, AcquireError>>;
  /** Runs one read outside any transaction at an owner. */
  read(read: OwnerRead): Promise<Result<StatementAnswer, OwnerReadError>>;
  /** The instance's log position, read at or after the time of this call. */
  position(timeoutMs: Milliseconds): Promise<Position | undefined>;
}

/** An instance whose connections this node may lend. */
export interface LendableInstance {
  readonly pool: InstancePool;
  /** Whether this node owns the instance: holds connections to it for other nodes. */
  readonly isOwned: boolean;
  /** Whether this node connects to it at all: as an owner, or because it has no owners. */
  readonly mayConnect: boolean;
  isUsable(now: Milliseconds): boolean;
}

/** Finds an instance by the service and id in another node's request. */
export type LendableLookup = (service: string, instanceId: string) => LendableInstance | undefined;

/** Counters over all leases of the process. */
export interface RelayCounters {
  leasesAsked: number;
  leasesRefused: number;
  leasesLost: number;
  leasesGiven: number;
  /** Reads that owners ran for this node. */
  readsAsked: number;
  /** Reads that this node ran for other nodes. */
  readsRun: number;
  /** Log positions of instances sent to other nodes at their request. */
  positionsTold: number;
}

/** Ownership of an instance, from this node's point of view. */
export interface InstanceOwnership {
  /** This node is an owner of the instance. */
  readonly isOwned: boolean;
  /** Provides connections lent by the owners, if this node is not one of them. */
  readonly lender: ConnectionLender | undefined;
}

/** Ownership of instances according to the current owner roster. */
export interface OwnershipView {
  readonly roster: OwnerRoster | undefined;
  /** True while owners are named but the links to them are still being set up; false by default. */
  readonly isPending?: boolean;
  /** Undefined if this node connects to the instance itself. */
  ownershipOf(instance: InstanceEntry): InstanceOwnership | undefined;
}
