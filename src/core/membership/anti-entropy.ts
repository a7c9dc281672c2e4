/**
 * Push-pull anti-entropy: two nodes compare one digest per bucket of members and exchange the members
 * of the buckets that differ, a bounded number at a time.
 */
import type { SyncPush, SyncRequest, SyncResponse } from './contract.js';
import type { MemberUpdate } from './member.js';
import { BUCKET_COUNT, type MemberTable } from './member-table.js';

/** Creates the response to a request: all members of the buckets that differ, from the cursor on. */
export function createSyncResponse(
  table: MemberTable,
  sender: MemberUpdate,
  request: SyncRequest,
  maxMembers: number,
): SyncResponse {
  const digests = table.digests();
  const byBucket = table.byBucket();
  const updates: MemberUpdate[] = [];
  let bucket = Math.max(0, request.cursor);
  for (; bucket < BUCKET_COUNT && updates.length < maxMembers; bucket += 1) {
    if (digests[bucket] === request.digests[bucket]) continue;
    updates.push(...(byBucket[bucket] ?? []));
  }
  const nextCursor = bucket < BUCKET_COUNT ? bucket : undefined;
  return { sender, digests, updates, nextCursor };
}

/**
 * Creates what the requester sends back after it has applied the response: its members in the buckets
 * that still differ. Undefined if there are none.
 */
export function createSyncPush(
  table: MemberTable,
  sender: MemberUpdate,
  response: SyncResponse,
  cursor: number,
  maxMembers: number,
): SyncPush | undefined {
  const digests = table.digests();
  const byBucket = table.byBucket();
  const end = response.nextCursor ?? BUCKET_COUNT;
  const updates: MemberUpdate[] = [];
  for (let bucket = cursor; bucket < end && updates.length < maxMembers; bucket += 1) {
    if (digests[bucket] === response.digests[bucket]) continue;
    updates.push(...(byBucket[bucket] ?? []));
  }
  return updates.length === 0 ? undefined : { sender, updates };
}
