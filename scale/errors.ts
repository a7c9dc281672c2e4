/** Errors of the scale run. */
import { MeadowstackError } from '../src/core/errors.js';

/** The flags do not fit. */
export class ScaleUsageError extends MeadowstackError {
  readonly code = 'MS-SCALE-USAGE';
}

/** The run came into a state that it can not measure. */
export class ScaleRunError extends MeadowstackError {
  readonly code = 'MS-SCALE-RUN';
}
