/** Converts a caller's batch to the message that the gateway sends to the owner. */
import type {
  CallerBatch,
  StatementClassification,
  StatementMarkers,
} from '../../postgres/contract.js';
import type { BatchMessage } from '../owner/messages.js';

/** Converts a batch and its classification to a message. */
export function toBatchMessage(
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
