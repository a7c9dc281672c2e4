/**
 * Promise 4: each caller receives the complete answer to its own request, and only that answer. Each
 * request selects a unique value that every row of its answer repeats (the echo).
 */
import type { AnswerRecord, History, RequestRecord } from '../history/model.js';
import type { Violation, ViolationReason } from './violation.js';

export function checkAnswers(history: History): Violation[] {
  return history.requests.flatMap(checkRequest);
}

function checkRequest(request: RequestRecord): Violation[] {
  const { answer } = request;
  if (answer === undefined) return [];
  const reasons = [...findContentReasons(answer)];
  const isComplete = request.outcome === 'done' && request.errorCode === undefined;
  const { expectedRows, receivedRows } = answer;
  if (isComplete && expectedRows !== undefined && receivedRows !== expectedRows) {
    reasons.push('incomplete-answer');
  }
  return reasons.map((reason) => createViolation(request, answer, reason));
}

function findContentReasons(answer: AnswerRecord): ViolationReason[] {
  const reasons: ViolationReason[] = [];
  const hasForeignEcho = answer.receivedEchoes.some((echo) => echo !== answer.expectedEcho);
  if (hasForeignEcho) reasons.push('foreign-answer');
  if (answer.answerCount > 1) reasons.push('repeated-answer');
  return reasons;
}

function createViolation(
  request: RequestRecord,
  answer: AnswerRecord,
  reason: ViolationReason,
): Violation {
  const rows = `${answer.receivedRows} of ${answer.expectedRows ?? 'any number of'} rows`;
  return {
    promise: 'ownWholeAnswer',
    reason,
    detail: `${request.attemptId}: ${rows}, ${answer.answerCount} answers, echoes ${answer.receivedEchoes.join(',')}`,
    at: request.endedAt,
  };
}
