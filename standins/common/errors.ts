/** Errors of the stand-ins. They leave the process only as an HTTP response or on stderr. */
import { MeadowstackError } from '../../src/core/errors.js';

/** The command line is invalid: unknown flag, missing value, value out of range. */
export class InvalidFlagsError extends MeadowstackError {
  readonly code = 'MS-STANDIN-FLAGS';
}

/** A request to a control port is invalid; the response has this HTTP status. */
export class ControlRequestError extends MeadowstackError {
  readonly code = 'MS-STANDIN-CONTROL';

  constructor(
    readonly httpStatus: number,
    message: string,
  ) {
    super(message);
  }
}
