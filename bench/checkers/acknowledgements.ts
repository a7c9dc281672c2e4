/**
 * Promise 2: no write is acknowledged by a primary that has already been replaced. Checked with the
 * databases' own logs: an acknowledged write must not have run on a timeline after a later timeline
 * began, and must be in the surviving log.
 */
import { groupBy } from '../history/group-by.js';
import type { CommitRecord, ElectionRecord, History, RequestRecord } from '../history/model.js';
import { commitsOf, groupCommitsByRow } from './commits.js';
import type { Violation, ViolationReason } from './violation.js';

export function checkAcknowledgements(history: History): Violation[] {
  const commitsByRow = groupCommitsByRow(history.commits);
  const attemptsByRequest = groupBy(history.requests, (request) => request.logicalId);
  const violations: Violation[] = [];
  for (const request of history.requests) {
    if (request.outcome !== 'done' || request.effectRow === undefined) continue;
    const attempts = isDoneEarlier(request)
      ? (attemptsByRequest.get(request.logicalId) ?? [])
      : [request];
    const commits = attempts.flatMap((attempt) => commitsOf(attempt, commitsByRow));
    const reason = findReason(commits, history.elections);
    if (reason !== undefined) violations.push(createViolation(request, reason));
  }
  return violations;
}

/** "Done earlier" acknowledges an earlier attempt, any of which may have run. */
function isDoneEarlier(request: RequestRecord): boolean {
  return request.errorCode === 'MS-ALREADY-DONE';
}

function findReason(
  commits: readonly CommitRecord[],
  elections: readonly ElectionRecord[],
): ViolationReason | undefined {
  const survivor = commits.find((commit) => commit.survived);
  if (survivor !== undefined) return undefined;
  const isReplaced = commits.some((commit) =>
    elections.some((election) => isReplacedBefore(election, commit)),
  );
  return isReplaced ? 'ran-on-replaced-primary' : 'acknowledged-write-lost';
}

function isReplacedBefore(election: ElectionRecord, commit: CommitRecord): boolean {
  const isSameGroup = election.group === commit.group;
  return (
    isSameGroup && election.timeline > commit.position.timeline && election.at < commit.committedAt
  );
}

function createViolation(request: RequestRecord, reason: ViolationReason): Violation {
  return {
    promise: 'noAckByReplacedPrimary',
    reason,
    detail: `${request.attemptId} was acknowledged; ${request.effectRow} did not survive in ${request.group}`,
    at: request.endedAt,
  };
}
