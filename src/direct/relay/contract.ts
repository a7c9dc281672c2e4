/**
 * What nodes say to each other about connections of an instance. A stream of a peer link is one lease:
 * the opener asks for a connection, gets it, sends messages for the instance and takes their answers,
 * and gives it back. Whatever else ends the stream ends the leased connection.
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

/** Session values, as pairs: names are the callers' own. */
export type ValueList = readonly (readonly [name: string, value: string])[];

/** What every stream asks for first: a connection of an instance, within a tenant's policy. */
interface OwnerRequest {
  readonly service: string;
  readonly instanceId: string;
  readonly tenant: string;
  /** The tenant that the connection must be of; absent where callers give no keys. */
  readonly account?: string | undefined;
  readonly priority: number;
  /** What the tenant may use of the instance, through this owner. */
  readonly policy: ConnectionPolicy;
  /** Values that the connection should have already, if one has them. */
  readonly values: ValueList;
  /** How long a connection is waited for. */
  readonly waitMs: Milliseconds;
  /** Time left until an answer is late; absent where the opener does not tell it. */
  readonly aimMs?: Milliseconds | undefined;
  /** The connection is kept between the statements of a transaction. */
  readonly isTransaction?: true | undefined;
}

/** Opens a stream that is one lease. */
export interface LeaseRequest extends OwnerRequest {
  readonly type: 'lease';
}

/**
 * Opens a stream for one read outside any transaction, which the owner runs by itself: one message each
 * way. What it may run late does no harm, since it is repeated anyway.
 */
export interface ReadRequest extends OwnerRequest {
  readonly type: 'read';
  readonly prepared: PreparedStatement | undefined;
  /** The statement for the instance, with the position that it must have. */
  readonly message: string;
}

/** What opens a stream. */
export type StreamRequest = LeaseRequest | ReadRequest;

/** Why an owner gave no connection. Nothing was sent to the instance. */
export type LeaseRefusal =
  /** The owner ends. */
  | { readonly reason: 'stopping' }
  /** By its own view, this node is no owner of the instance. */
  | { readonly reason: 'not-owner' }
  /** It knows no such instance of this service. */
  | { readonly reason: 'unknown-instance' }
  /** The instance is leaving or gone. */
  | { readonly reason: 'unusable' }
  /** None became free in time. */
  | { readonly reason: 'no-connection' }
  /** The tenant has as many statements waiting there as it may. */
  | { readonly reason: 'queue-full' }
  /** The instance could not be reached; `answer` is what it answered, if it did. */
  | { readonly reason: 'unreachable'; readonly answer: StatementErrorCode | undefined };

/** What the opener of a lease says. */
export type LeaseCommand =
  /** Messages for the instance, handed over together. */
  | { readonly type: 'run'; readonly messages: readonly string[] }
  /** The connection is at rest, with these values and prepared statements. */
  | {
      readonly type: 'return';
      readonly values: ValueList;
      readonly preparedNames: readonly string[];
    };

/** What the opener of a read may say: it has been answered elsewhere, and need not be sent any more. */
export const CANCEL_READ = { type: 'cancel' } as const;

/** What the owner says. */
export type LeaseEvent =
  /** The request has come; a connection or an answer is waited for. */
  | { readonly type: 'queued' }
  | {
      readonly type: 'granted';
      readonly values: ValueList;
      readonly preparedNames: readonly string[];
    }
  | ({ readonly type: 'refused' } & LeaseRefusal)
  /** The answers to one `run`, in its order; or the one answer to a read. */
  | { readonly type: 'answers'; readonly answers: readonly StatementAnswer[] }
  /** The connection to the instance ended before all answers came. */
  | { readonly type: 'lost' };

/** Asks an owner for the log position of an instance that it owns. */
export const POSITION_METHOD = 'direct.position';

export interface PositionRequest {
  readonly service: string;
  readonly instanceId: string;
}

/** A read that an owner is to run by itself. */
export interface OwnerRead extends ConnectionRequest {
  readonly prepared: PreparedStatement | undefined;
  /** The statement for the instance, with the position that it must have. */
  readonly message: string;
}

/** Why an owner gave no answer to a read; only after a lost connection it may have run. */
export type OwnerReadError = AcquireError | InstanceConnectionLostError;

/** Gives connections of one instance that others own. */
export interface ConnectionLender {
  acquire(request: ConnectionRequest): Promise<Result<InstanceConnection, AcquireError>>;
  /** Has an owner run one read outside any transaction. */
  read(read: OwnerRead): Promise<Result<StatementAnswer, OwnerReadError>>;
  /** The instance's log position, at or after this call. */
  position(timeoutMs: Milliseconds): Promise<Position | undefined>;
}

/** An instance as its owner lends its connections. */
export interface LendableInstance {
  readonly pool: InstancePool;
  /** Whether this node holds connections to it for others. */
  readonly isOwned: boolean;
  /** Whether this node connects to it at all: as an owner, or since there are none. */
  readonly mayConnect: boolean;
  isUsable(now: Milliseconds): boolean;
}

/** Finds instances by what others call them. */
export type LendableLookup = (service: string, instanceId: string) => LendableInstance | undefined;

/** Counted over all leases of the process. */
export interface RelayCounters {
  leasesAsked: number;
  leasesRefused: number;
  leasesLost: number;
  leasesGiven: number;
  /** Reads that this node had owners run. */
  readsAsked: number;
  /** Reads that this node ran for others. */
  readsRun: number;
  /** Answers to others that asked for the position of an instance. */
  positionsTold: number;
}

/** Who owns an instance, for the node that asks. */
export interface InstanceOwnership {
  /** This node holds connections to the instance. */
  readonly isOwned: boolean;
  /** Otherwise, gives connections of its owners. */
  readonly lender: ConnectionLender | undefined;
}

/** Tells who owns an instance in the roster that is in force. */
export interface OwnershipView {
  readonly roster: OwnerRoster | undefined;
  /** True while owners are named, and the links to them are being made ready; false by default. */
  readonly isPending?: boolean;
  /** Undefined if this node is to connect by itself. */
  ownershipOf(instance: InstanceEntry): InstanceOwnership | undefined;
}
