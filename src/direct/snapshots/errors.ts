/** Failures of the exchange of snapshots between nodes. */
import { MeadowstackError } from '../../core/errors.js';

/** A request or a response is malformed. */
export class SnapshotFormError extends MeadowstackError {
  readonly code = 'MS-SNAPSHOT-FORM';
}

/** This node has reached its limit of responses per second; retry later. */
export class SnapshotBusyError extends MeadowstackError {
  readonly code = 'MS-SNAPSHOT-BUSY';
}
