/** Failures of the platform's services, as reported by their clients. */
import { type ErrorLabel, MeadowstackError } from '../core/errors.js';
import type { Milliseconds } from '../core/units.js';
import type { StoreError } from './contract.js';

const RETRYABLE: ReadonlySet<ErrorLabel> = new Set(['retryable']);
const PROTOCOL_VIOLATION: ReadonlySet<ErrorLabel> = new Set(['protocol-violation']);

export interface StoreFailureOptions extends ErrorOptions {
  /** The store responded with an error, for example HTTP status 503; false by default. */
  readonly hasResponded?: boolean;
}

/** Base class of all failures of the store. */
export abstract class StoreFailure extends MeadowstackError implements StoreError {
  readonly outcomeUnknown: boolean = false;
  readonly hasResponded: boolean;
  readonly retryAfterMs: Milliseconds | undefined = undefined;

  constructor(message: string, options: StoreFailureOptions = {}) {
    super(message, options);
    this.hasResponded = options.hasResponded ?? false;
  }
}

/** The store did not accept the request, or a read-only request got no response. */
export class StoreUnavailableError extends StoreFailure {
  readonly code = 'MS-STORE-UNAVAILABLE';
  override readonly labels = RETRYABLE;
}

/** The store refused the request because of its rate limit; nothing took effect. */
export class StoreRateLimitedError extends StoreFailure {
  readonly code = 'MS-STORE-RATE-LIMITED';
  override readonly labels = RETRYABLE;
  override readonly hasResponded = true;

  constructor(override readonly retryAfterMs: Milliseconds | undefined) {
    super('the store refused the request because of its rate limit');
  }
}

/** No response to a write: it may or may not have taken effect. */
export class StoreAnswerLostError extends StoreFailure {
  readonly code = 'MS-STORE-ANSWER-LOST';
  override readonly outcomeUnknown = true;
}

/** The store's response violates its protocol. */
export class StoreProtocolError extends StoreFailure {
  readonly code = 'MS-STORE-PROTOCOL';
  override readonly labels = PROTOCOL_VIOLATION;
  override readonly hasResponded = true;

  constructor(
    message: string,
    override readonly outcomeUnknown: boolean,
  ) {
    super(message);
  }
}

/** The store rejected the request as invalid; nothing took effect and a retry makes no sense. */
export class StoreRequestRejectedError extends StoreFailure {
  readonly code = 'MS-STORE-REJECTED';
  override readonly hasResponded = true;

  constructor(
    /** The gRPC status code if etcd reports one, else the HTTP status. */
    readonly grpcCode: number,
    message: string,
  ) {
    super(message);
  }
}

/**
 * The response is from a store era (the history between two restores from a backup) that can't be
 * determined, or from another era than the request relies on.
 */
export class StoreEraError extends StoreFailure {
  readonly code = 'MS-STORE-ERA';
  override readonly labels = PROTOCOL_VIOLATION;
  override readonly hasResponded = true;

  constructor(
    reason: string,
    override readonly outcomeUnknown: boolean,
  ) {
    super(`the era of the store's response is unknown or not the expected one: ${reason}`);
  }
}

/** The lease has expired or was revoked. */
export class StoreLeaseNotFoundError extends StoreFailure {
  readonly code = 'MS-STORE-LEASE-NOT-FOUND';
  override readonly hasResponded = true;

  constructor(readonly leaseId: string) {
    super(`the store has no lease ${leaseId}`);
  }
}

/** The store has discarded the history that a watch requested; the caller must read the range again. */
export class StoreCompactedError extends StoreFailure {
  readonly code = 'MS-STORE-COMPACTED';
  override readonly hasResponded = true;

  constructor(
    /** Earliest revision from which the store still has the history. */
    readonly compactRevision: number,
  ) {
    super(`the store's history before revision ${compactRevision} is compacted`);
  }
}

/** A watch ended, for example because its connection was lost; it may be reopened. */
export class StoreWatchEndedError extends StoreFailure {
  readonly code = 'MS-STORE-WATCH-ENDED';
  override readonly labels = RETRYABLE;
}

/** The machine list could not be read. */
export class MachineListUnavailableError extends MeadowstackError {
  readonly code = 'MS-MACHINES-UNAVAILABLE';
  override readonly labels = RETRYABLE;
}

/** The response of the machine list service is malformed. */
export class MachineListProtocolError extends MeadowstackError {
  readonly code = 'MS-MACHINES-PROTOCOL';
  override readonly labels = PROTOCOL_VIOLATION;
}
