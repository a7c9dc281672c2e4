/**
 * Promise 1: after a session writes, its later reads see that write. Requests of a session run one
 * after another. Also finds reads that return older data than an earlier read of the session, which
 * no promise excludes.
 */
import { groupBy } from '../history/group-by.js';
import type { History, RequestRecord, VersionedKey } from '../history/model.js';
import type { Finding, Violation } from './violation.js';

/** Minimum version that the session must see, and the attempt that requires it. */
interface RequiredVersion {
  readonly version: number;
  readonly attemptId: string;
}

/** A read that returned an older version than required. */
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
    detail: describeOutdatedRead(read),
    at: read.request.endedAt,
  }));
}

/** Allowed for stale reads, but their number may be of interest. */
export function findNonMonotonicReads(history: History): Finding[] {
  const outdated = findOutdatedReads(history, (request) => request.saw);
  return outdated.map((read) => ({
    reason: 'read-went-back',
    detail: describeOutdatedRead(read),
    at: read.request.endedAt,
  }));
}

function findOutdatedReads(
  history: History,
  versionsRequiredBy: (request: RequestRecord) => readonly VersionedKey[],
): OutdatedRead[] {
  const done = history.requests.filter((request) => request.outcome === 'done');
  const bySession = groupBy(done, (request) => `${request.tenant}/${request.sessionId}`);
  return [...bySession.values()].flatMap((requests) => checkSession(requests, versionsRequiredBy));
}

function checkSession(
  requests: readonly RequestRecord[],
  versionsRequiredBy: (request: RequestRecord) => readonly VersionedKey[],
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
    raiseRequiredVersions(requiredVersions, request, versionsRequiredBy(request));
  }
  return outdated;
}

function raiseRequiredVersions(
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

function describeOutdatedRead({ request, seen, required }: OutdatedRead): string {
  const saw = `${request.attemptId} saw ${seen.key} at ${seen.version}`;
  return `${saw}; ${required.attemptId} had ${required.version}`;
}
