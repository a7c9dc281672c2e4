/** Errors in the communication between the direct gateway and one instance. */
import { MeadowstackError } from '../core/errors.js';
import type { StatementErrorCode } from '../core/statements/statement.js';

/** The connection to an instance could not be opened. Nothing was sent. */
export class InstanceConnectError extends MeadowstackError {
  readonly code = 'MS-INSTANCE-CONNECT';

  constructor(
    message: string,
    /** Error code of the instance's response, if it responded. */
    readonly answer: StatementErrorCode | undefined,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** The connection ended before the whole response arrived; the statement may have run. */
export class InstanceConnectionLostError extends MeadowstackError {
  readonly code = 'MS-INSTANCE-CONNECTION-LOST';

  constructor(
    message: string,
    /** What failed; `owner` says nothing about the instance itself. */
    readonly fault: 'instance' | 'owner' = 'instance',
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** No connection became free within the statement's maximum wait. Nothing was sent. */
export class InstanceWaitTimeoutError extends MeadowstackError {
  readonly code = 'MS-INSTANCE-WAIT-TIMEOUT';
}

/** None of the instance's owners lent a connection. Nothing was sent. */
export class InstanceOwnersUnreachableError extends MeadowstackError {
  readonly code = 'MS-INSTANCE-OWNERS-UNREACHABLE';
}

/** The tenant has reached its limit of statements waiting for the instance. Nothing was sent. */
export class InstanceQueueFullError extends MeadowstackError {
  readonly code = 'MS-INSTANCE-QUEUE-FULL';
}

/** An instance did not respond to a control call in time, or refused it. */
export class InstanceControlError extends MeadowstackError {
  readonly code = 'MS-INSTANCE-CONTROL';

  constructor(
    message: string,
    readonly answer: StatementErrorCode | undefined,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
