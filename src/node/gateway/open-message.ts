/** The message that opens a request at its group's owner. */
import type { TenantPolicy } from '../../core/configuration/model.js';
import type { GroupName, SessionRequirement, ZoneName } from '../../core/request.js';
import type {
  CallerBatch,
  StatementClassification,
  StatementMarkers,
} from '../../postgres/contract.js';
import type { OpenMessage } from '../owner/messages.js';
import { batchMessage } from './batch-message.js';
import type { SentRequest } from './request-observer.js';

/** Where a session's requests go, and from where. */
export interface SessionRoute {
  readonly group: GroupName;
  readonly database: string;
  /** Zone of this node. */
  readonly zone: ZoneName;
}

/** A batch with what was found out about it. */
export interface ExaminedBatch {
  readonly batch: CallerBatch;
  readonly statementClass: StatementClassification;
  readonly markers: StatementMarkers;
}

/** Opens a request with its first batch. */
export function openMessage(
  { requestId, terms, access }: SentRequest,
  { batch, statementClass, markers }: ExaminedBatch,
  policy: TenantPolicy,
  route: SessionRoute,
  session: SessionRequirement,
): OpenMessage {
  const holds = statementClass.transactionControl === 'begin' || markers.once !== undefined;
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
    hold: holds ? 'transaction' : 'statement',
    batch: batchMessage(batch, statementClass, markers),
  };
}
