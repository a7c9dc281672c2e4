/**
 * Promises 5 and 6, checked with the databases' logs: a request refused as "not run" has no commit,
 * not even on a discarded branch of the log; a request that isn't repeatable is in the surviving log
 * at most once, regardless of the number of attempts.
 */
import { groupBy } from '../history/group-by.js';
import type { History } from '../history/model.js';
import { commitsOf, groupCommitsByRow } from './commits.js';
import type { Violation } from './violation.js';

export function checkNotRun(history: History): Violation[] {
  const commitsByRow = groupCommitsByRow(history.commits);
  const refused = history.requests.filter((request) => request.outcome === 'not-run');
  const ran = refused.filter((request) => commitsOf(request, commitsByRow).length > 0);
  return ran.map((request) => ({
    promise: 'notRunDidNotRun',
    reason: 'not-run-but-ran',
    detail: `${request.attemptId} was refused (${request.errorCode}) but ${request.effectRow} was committed`,
    at: request.endedAt,
  }));
}

export function checkAtMostOnce(history: History): Violation[] {
  const commitsByRow = groupCommitsByRow(history.commits);
  const once = history.requests.filter(
    (request) => !request.repeatable && request.access === 'write',
  );
  const attemptsByRequest = groupBy(once, (request) => request.logicalId);
  const violations: Violation[] = [];
  for (const [logicalId, attempts] of attemptsByRequest) {
    const executions = attempts
      .flatMap((attempt) => commitsOf(attempt, commitsByRow))
      .filter((commit) => commit.survived);
    if (executions.length <= 1) continue;
    violations.push({
      promise: 'atMostOnce',
      reason: 'ran-more-than-once',
      detail: `${logicalId} ran ${executions.length} times in ${attempts.length} attempts`,
      at: Math.max(...executions.map((commit) => commit.committedAt)),
    });
  }
  return violations;
}
