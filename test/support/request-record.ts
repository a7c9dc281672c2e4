/** Request records for tests. By default a successful write of kind `unlock`; `changes` override it. */
import type { AnswerRecord, RequestRecord } from '../../bench/history/model.js';

export const WHOLE_ANSWER: AnswerRecord = {
  expectedEcho: 'e1',
  receivedEchoes: ['e1'],
  expectedRows: 1,
  receivedRows: 1,
  answerCount: 1,
};

export function requestRecord(changes: Partial<RequestRecord>): RequestRecord {
  return {
    attemptId: 'r1',
    logicalId: changes.attemptId ?? 'r1',
    tenant: 'trust',
    sessionId: 's1',
    proxy: 'p1',
    group: 'g1',
    kind: 'unlock',
    access: 'write',
    repeatable: false,
    intendedAt: 100,
    sentAt: 100,
    endedAt: 110,
    ending: 'answered',
    outcome: 'done',
    errorCode: undefined,
    retryAfterMs: undefined,
    wrote: [],
    saw: [],
    effectRow: undefined,
    answer: WHOLE_ANSWER,
    servedBy: undefined,
    toleratesStaleness: false,
    ...changes,
  };
}
