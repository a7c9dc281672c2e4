/**
 * Promise 4: each caller receives the whole answer to its own request, and only that answer. Each
 * request asks for a value of its own to be echoed in every row.
 */
import type { AnswerRecord, History, RequestRecord } from '../history/model.js';
import type { Violation, ViolationReason } from './violation.js';

export function checkAnswers(history: History): Violation[] {
  return history.requests.flatMap(checkRequest);
}

function checkRequest(request: RequestRecord): Violation[] {
  const { answer } = request;
  if (answer === undefined) return [];
  const reasons = [...reasonsOfContent(answer)];
  const whole = request.outcome === 'done' && request.errorCode === undefined;
  const { expectedRows, receivedRows } = answer;
  if (whole && expectedRows !== undefined && receivedRows !== expectedRows) {
    reasons.push('incomplete-answer');
  }
  return reasons.map((reason) => violationOf(request, answer, reason));
}

function reasonsOfContent(answer: AnswerRecord): ViolationReason[] {
  const reasons: ViolationReason[] = [];
  const foreign = answer.receivedEchoes.some((echo) => echo !== answer.expectedEcho);
  if (foreign) reasons.push('foreign-answer');
  if (answer.answerCount > 1) reasons.push('repeated-answer');
  return reasons;
}

function violationOf(
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
