/**
 * Push-pull anti-entropy: two nodes compare one digest for each bucket of members and exchange the
 * buckets that differ, a bounded number of members at a time.
 */
import type { SyncPush, SyncRequest, SyncResponse } from './contract.js';
import type { MemberUpdate } from './member.js';
import { BUCKET_COUNT, type MemberTable } from './member-table.js';

/** The answer to a request: whole buckets that differ, from its cursor on. */
export function answerSync(
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
 * What the asker has to tell after it took in the answer: its members of the buckets that still
 * differ. Undefined if there is nothing to tell.
 */
export function pushAfterAnswer(
  table: MemberTable,
  sender: MemberUpdate,
  answer: SyncResponse,
  cursor: number,
  maxMembers: number,
): SyncPush | undefined {
  const digests = table.digests();
  const byBucket = table.byBucket();
  const end = answer.nextCursor ?? BUCKET_COUNT;
  const updates: MemberUpdate[] = [];
  for (let bucket = cursor; bucket < end && updates.length < maxMembers; bucket += 1) {
    if (digests[bucket] === answer.digests[bucket]) continue;
    updates.push(...(byBucket[bucket] ?? []));
  }
  return updates.length === 0 ? undefined : { sender, updates };
}
