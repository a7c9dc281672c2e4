/** Errors of the exchange of machine lists between nodes. */
import { type ErrorLabel, MeadowstackError } from '../../core/errors.js';

/** A peer's message about the machine list is malformed. */
export class MachineListMessageError extends MeadowstackError {
  readonly code = 'MS-MACHINES-MESSAGE';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['protocol-violation']);

  constructor(method: string) {
    super(`malformed message: ${method}`);
  }
}

/** A peer's list changed while its pages were fetched, or had too many pages. */
export class MachineListFetchError extends MeadowstackError {
  readonly code = 'MS-MACHINES-FETCH';
  override readonly labels: ReadonlySet<ErrorLabel> = new Set(['retryable']);

  constructor() {
    super('the machine list changed while it was fetched from a peer');
  }
}
