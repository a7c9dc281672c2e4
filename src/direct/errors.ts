/** Failures between the direct gateway and one instance. */
import { MeadowstackError } from '../core/errors.js';
import type { StatementErrorCode } from '../core/statements/statement.js';

/** The connection to an instance could not be opened. Nothing was sent. */
export class InstanceConnectError extends MeadowstackError {
  readonly code = 'MS-INSTANCE-CONNECT';

  constructor(
    message: string,
    /** What the instance answered, if it did. */
    readonly answer: StatementErrorCode | undefined,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** The connection ended before the whole answer came; what was sent may have run. */
export class InstanceConnectionLostError extends MeadowstackError {
  readonly code = 'MS-INSTANCE-CONNECTION-LOST';

  constructor(
    message: string,
    /** Who failed: with `owner`, nothing is known of the instance itself. */
    readonly fault: 'instance' | 'owner' = 'instance',
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** No connection became free in the time that the statement could wait. Nothing was sent. */
export class InstanceWaitTimeoutError extends MeadowstackError {
  readonly code = 'MS-INSTANCE-WAIT-TIMEOUT';
}

/** None of the nodes that own the instance lends a connection. Nothing was sent. */
export class InstanceOwnersUnreachableError extends MeadowstackError {
  readonly code = 'MS-INSTANCE-OWNERS-UNREACHABLE';
}

/** An instance did not answer a control call in time, or refused it. */
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
