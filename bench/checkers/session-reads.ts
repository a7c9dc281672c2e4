/**
 * Promise 1: after a session writes, its later reads see that write. Also checked: reads of one
 * session never go back behind what it read before. Requests of a session follow one another.
 */
import { groupBy } from '../history/group-by.js';
import type { History, RequestRecord } from '../history/model.js';
import type { Violation, ViolationReason } from './violation.js';

interface KnownVersion {
  readonly version: number;
  readonly reason: ViolationReason;
  readonly attemptId: string;
}

export function checkSessionReads(history: History): Violation[] {
  const done = history.requests.filter((request) => request.outcome === 'done');
  const bySession = groupBy(done, (request) => `${request.tenant}/${request.sessionId}`);
  return [...bySession.values()].flatMap(checkSession);
}

function checkSession(requests: readonly RequestRecord[]): Violation[] {
  const ordered = [...requests].sort((left, right) => left.sentAt - right.sentAt);
  const known = new Map<string, KnownVersion>();
  const violations: Violation[] = [];
  for (const request of ordered) {
    violations.push(...checkRequest(request, known));
    learn(request, known);
  }
  return violations;
}

function checkRequest(
  request: RequestRecord,
  known: ReadonlyMap<string, KnownVersion>,
): Violation[] {
  const violations: Violation[] = [];
  for (const { key, version } of request.saw) {
    const earlier = known.get(versionKey(request, key));
    if (earlier === undefined || version >= earlier.version) continue;
    violations.push({
      promise: 'sessionReadsOwnWrites',
      reason: earlier.reason,
      detail: `${request.attemptId} saw ${key} at ${version}; ${earlier.attemptId} had ${earlier.version}`,
      at: request.endedAt,
    });
  }
  return violations;
}

function learn(request: RequestRecord, known: Map<string, KnownVersion>): void {
  const { attemptId } = request;
  for (const { key, version } of request.saw) {
    raise(known, versionKey(request, key), { version, reason: 'read-went-back', attemptId });
  }
  for (const { key, version } of request.wrote) {
    raise(known, versionKey(request, key), { version, reason: 'own-write-not-seen', attemptId });
  }
}

function raise(known: Map<string, KnownVersion>, key: string, next: KnownVersion): void {
  const earlier = known.get(key);
  if (earlier === undefined || next.version > earlier.version) known.set(key, next);
}

function versionKey(request: RequestRecord, key: string): string {
  return `${request.group}/${key}`;
}
