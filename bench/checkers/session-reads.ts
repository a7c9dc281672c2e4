/**
 * Promise 1: after a session writes, its later reads see that write. Requests of a session follow
 * one another. Beside it, not promised: reads that go back behind what the session read before.
 */
import { groupBy } from '../history/group-by.js';
import type { History, RequestRecord, VersionedKey } from '../history/model.js';
import type { Finding, Violation } from './violation.js';

/** A version that the session has to see at least, and whence. */
interface RequiredVersion {
  readonly version: number;
  readonly attemptId: string;
}

/** A read that saw less than it had to. */
interface OutdatedRead {
  readonly request: RequestRecord;
  readonly seen: VersionedKey;
  readonly required: RequiredVersion;
}

export function checkSessionReads(history: History): Violation[] {
  const outdated = findOutdatedReads(history, (request) => request.wrote);
  return outdated.map((read) => ({
    promise: 'sessionReadsOwnWrites',
    reason: 'own-write-not-seen',
    detail: detailOf(read),
    at: read.request.endedAt,
  }));
}

/** Stale reads may do this; a caller may still want to know how often. */
export function findNonMonotonicReads(history: History): Finding[] {
  const outdated = findOutdatedReads(history, (request) => request.saw);
  return outdated.map((read) => ({
    reason: 'read-went-back',
    detail: detailOf(read),
    at: read.request.endedAt,
  }));
}

function findOutdatedReads(
  history: History,
  requiredBy: (request: RequestRecord) => readonly VersionedKey[],
): OutdatedRead[] {
  const done = history.requests.filter((request) => request.outcome === 'done');
  const bySession = groupBy(done, (request) => `${request.tenant}/${request.sessionId}`);
  return [...bySession.values()].flatMap((requests) => checkSession(requests, requiredBy));
}

function checkSession(
  requests: readonly RequestRecord[],
  requiredBy: (request: RequestRecord) => readonly VersionedKey[],
): OutdatedRead[] {
  const ordered = [...requests].sort((left, right) => left.sentAt - right.sentAt);
  const requiredVersions = new Map<string, RequiredVersion>();
  const outdated: OutdatedRead[] = [];
  for (const request of ordered) {
    for (const seen of request.saw) {
      const required = requiredVersions.get(versionKey(request, seen.key));
      if (required !== undefined && seen.version < required.version) {
        outdated.push({ request, seen, required });
      }
    }
    raise(requiredVersions, request, requiredBy(request));
  }
  return outdated;
}

function raise(
  requiredVersions: Map<string, RequiredVersion>,
  request: RequestRecord,
  versions: readonly VersionedKey[],
): void {
  for (const { key, version } of versions) {
    const name = versionKey(request, key);
    const earlier = requiredVersions.get(name)?.version ?? Number.NEGATIVE_INFINITY;
    if (version > earlier) requiredVersions.set(name, { version, attemptId: request.attemptId });
  }
}

function versionKey(request: RequestRecord, key: string): string {
  return `${request.group}/${key}`;
}

function detailOf({ request, seen, required }: OutdatedRead): string {
  const saw = `${request.attemptId} saw ${seen.key} at ${seen.version}`;
  return `${saw}; ${required.attemptId} had ${required.version}`;
}
