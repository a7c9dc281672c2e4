/** Errors of the scale run. */
import { MeadowstackError } from '../src/core/errors.js';

/** The command line is invalid. */
export class ScaleUsageError extends MeadowstackError {
  readonly code = 'MS-SCALE-USAGE';
}

/** The run reached a state in which it can't measure. */
export class ScaleRunError extends MeadowstackError {
  readonly code = 'MS-SCALE-RUN';
}
