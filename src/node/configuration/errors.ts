/** Errors of the exchange of configuration between nodes. */
import { MeadowstackError } from '../../core/errors.js';

/** A peer sent a message that does not fit its schema, or asked for an unknown method. */
export class ConfigurationMessageError extends MeadowstackError {
  readonly code = 'MS-CONFIGURATION-MESSAGE';

  constructor(readonly method: string) {
    super(`malformed message of ${method}`);
  }
}

/** A peer's configuration changed again and again while it was fetched page by page. */
export class ConfigurationFetchError extends MeadowstackError {
  readonly code = 'MS-CONFIGURATION-FETCH';

  constructor() {
    super('the configuration changed while it was fetched');
  }
}
