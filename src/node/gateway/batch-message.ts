/** The form in which a caller's batch travels to the owner. */
import type {
  CallerBatch,
  StatementClassification,
  StatementMarkers,
} from '../../postgres/contract.js';
import type { BatchMessage } from '../owner/messages.js';

/** The owner's form of a batch. */
export function batchMessage(
  batch: CallerBatch,
  statementClass: StatementClassification,
  markers: StatementMarkers,
): BatchMessage {
  return {
    type: 'batch',
    requires: batch.requires.map((statement) => ({
      backendName: statement.backendName,
      text: statement.text,
      parameterTypes: [...statement.parameterTypes],
    })),
    messages: batch.messages,
    mayCommit: statementClass.transactionControl === 'commit',
    ...(markers.once === undefined ? {} : { onceKey: markers.once }),
  };
}
