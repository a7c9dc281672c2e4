/** Failures of the exchange of snapshots between nodes. */
import { MeadowstackError } from '../../core/errors.js';

/** A question or an answer has not the form of this exchange. */
export class SnapshotFormError extends MeadowstackError {
  readonly code = 'MS-SNAPSHOT-FORM';
}

/** This node has answered as much as it does in a second; ask it again later. */
export class SnapshotBusyError extends MeadowstackError {
  readonly code = 'MS-SNAPSHOT-BUSY';
}
