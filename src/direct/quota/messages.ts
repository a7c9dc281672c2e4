/** Parses the messages between nodes about quotas. Hand-written: a schema library slows down the start. */
import { asObject } from '../../core/fields.js';
import type { PermitGrant, PermitRequest } from '../../core/tenancy/quota-ledger.js';
import type { WireValue } from '../../peer/contract.js';

/** Peer method that requests permits from the keeper of a part of a tenant's quota. */
export const PERMITS_METHOD = 'direct/permits';

/** A request for permits of one part. */
export interface PartRequest extends PermitRequest {
  readonly part: number;
}

/** Undefined if malformed. */
export function parsePartRequest(value: WireValue): PartRequest | undefined {
  const { part, tenant, node, needed, held, wanted, priority = 0 } = asObject(value) ?? {};
  if (typeof tenant !== 'string' || typeof node !== 'string' || !isCount(part)) return undefined;
  if (!isCount(needed) || !isCount(held) || !isCount(wanted)) return undefined;
  if (!isCount(priority)) return undefined;
  return { part, tenant, node, needed, held, wanted, priority };
}

/** Undefined if malformed, which includes the response of a node that is not the part's keeper. */
export function parsePermitGrant(value: WireValue): PermitGrant | undefined {
  const { granted, retryAfterMs } = asObject(value) ?? {};
  if (!isCount(granted)) return undefined;
  if (typeof retryAfterMs !== 'number' || !(retryAfterMs >= 0)) return undefined;
  return { granted, retryAfterMs };
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
