/** Errors of the stand-ins. They never leave a stand-in's process except as an HTTP answer or on stderr. */
import { MeadowstackError } from '../../src/core/errors.js';

/** The command line is wrong: unknown flag, missing value, value out of range. */
export class InvalidFlagsError extends MeadowstackError {
  readonly code = 'MS-STANDIN-FLAGS';
}

/** A request to a control port is wrong; answered with the given HTTP status. */
export class ControlRequestError extends MeadowstackError {
  readonly code = 'MS-STANDIN-CONTROL';

  constructor(
    readonly httpStatus: number,
    message: string,
  ) {
    super(message);
  }
}
