/**
 * Promise 2: no write is acknowledged by a primary that has already been replaced. Checked by the
 * databases' own logs: an acknowledged write must not have run on a timeline after a later one had
 * begun, and must be in the log that survived.
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
    const reason = reasonAgainst(commits, history.elections);
    if (reason !== undefined) violations.push(violationOf(request, reason));
  }
  return violations;
}

/** "Done earlier" acknowledges whichever attempt ran. */
function isDoneEarlier(request: RequestRecord): boolean {
  return request.errorCode === 'MS-ALREADY-DONE';
}

function reasonAgainst(
  commits: readonly CommitRecord[],
  elections: readonly ElectionRecord[],
): ViolationReason | undefined {
  const survivor = commits.find((commit) => commit.survived);
  if (survivor !== undefined) return undefined;
  const replaced = commits.some((commit) =>
    elections.some((election) => replacedBefore(election, commit)),
  );
  return replaced ? 'ran-on-replaced-primary' : 'acknowledged-write-lost';
}

function replacedBefore(election: ElectionRecord, commit: CommitRecord): boolean {
  const sameGroup = election.group === commit.group;
  return (
    sameGroup && election.timeline > commit.position.timeline && election.at < commit.committedAt
  );
}

function violationOf(request: RequestRecord, reason: ViolationReason): Violation {
  return {
    promise: 'noAckByReplacedPrimary',
    reason,
    detail: `${request.attemptId} was acknowledged; ${request.effectRow} did not survive in ${request.group}`,
    at: request.endedAt,
  };
}
