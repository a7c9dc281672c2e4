/** The message that opens a request at its group's owner. */
import type { TenantPolicy } from '../../core/configuration/model.js';
import type { GroupName, SessionRequirement, ZoneName } from '../../core/request.js';
import type {
  CallerBatch,
  StatementClassification,
  StatementMarkers,
} from '../../postgres/contract.js';
import type { OpenMessage } from '../owner/messages.js';
import { toBatchMessage } from './batch-message.js';
import type { SentRequest } from './request-observer.js';

/** Destination and origin of a session's requests. */
export interface SessionRoute {
  readonly group: GroupName;
  readonly database: string;
  /** Zone of this node. */
  readonly zone: ZoneName;
}

/** A batch with its classification and markers. */
export interface ClassifiedBatch {
  readonly batch: CallerBatch;
  readonly statementClass: StatementClassification;
  readonly markers: StatementMarkers;
}

/** Creates the message that opens a request, with its first batch. */
export function createOpenMessage(
  { requestId, terms, access }: SentRequest,
  { batch, statementClass, markers }: ClassifiedBatch,
  policy: TenantPolicy,
  route: SessionRoute,
  session: SessionRequirement,
): OpenMessage {
  const holdsConnection =
    statementClass.transactionControl === 'begin' || markers.once !== undefined;
  return {
    type: 'open',
    requestId,
    ...route,
    tenant: policy.tenant,
    databaseRole: policy.databaseRole,
    access,
    kind: terms.kind,
    weight: terms.weight,
    stalenessBoundMs: terms.stalenessBoundMs,
    repeatable: terms.repeatable,
    session,
    remainingMs: terms.deadlineMs,
    hold: holdsConnection ? 'transaction' : 'statement',
    batch: toBatchMessage(batch, statementClass, markers),
  };
}
