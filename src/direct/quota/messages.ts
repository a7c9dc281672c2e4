/** What nodes ask each other about quotas; read by hand, since a start costs time. */
import { asObject } from '../../core/fields.js';
import type { PermitGrant, PermitRequest } from '../../core/tenancy/quota-ledger.js';
import type { WireValue } from '../../peer/contract.js';

/** Asks the keeper of a part of a tenant's quota for permits. */
export const PERMITS_METHOD = 'direct/permits';

/** A request of one part. */
export interface PartRequest extends PermitRequest {
  readonly part: number;
}

/** Undefined for what is not in its form. */
export function parsePartRequest(value: WireValue): PartRequest | undefined {
  const { part, tenant, node, needed, held, wanted, priority = 0 } = asObject(value) ?? {};
  if (typeof tenant !== 'string' || typeof node !== 'string' || !isCount(part)) return undefined;
  if (!isCount(needed) || !isCount(held) || !isCount(wanted)) return undefined;
  if (!isCount(priority)) return undefined;
  return { part, tenant, node, needed, held, wanted, priority };
}

/** Undefined for what is not in its form, as from a node that does not keep the part. */
export function parsePermitGrant(value: WireValue): PermitGrant | undefined {
  const { granted, retryAfterMs } = asObject(value) ?? {};
  if (!isCount(granted)) return undefined;
  if (typeof retryAfterMs !== 'number' || !(retryAfterMs >= 0)) return undefined;
  return { granted, retryAfterMs };
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
