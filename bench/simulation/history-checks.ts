/** Checks of a simulated history; each returns descriptions of the violations it found. */
import { NotRunError } from '../../src/core/errors.js';
import type { Execution, RequestRecord, SimulatedHistory } from './history.js';

const CLOCK_TOLERANCE_MS = 0.001;
const MAX_TRANSACTION_CONFIRMATION_MS = 1000;
/** Retries allowed at the start; each request allows `RETRY_RATIO` more. */
export const RETRY_CAPACITY = 10;
const RETRY_RATIO = 0.1;

type Check = (history: SimulatedHistory) => string[];

function wasReleased(record: RequestRecord): boolean {
  return record.completions[0] !== undefined && record.completions[0].error === undefined;
}

/** The execution whose answer the caller received. */
export function servingExecutionOf(record: RequestRecord): Execution | undefined {
  return record.executions.find((execution) => execution.attempt === record.sentAt.length);
}

const oneFinalEach: Check = ({ records }) =>
  records
    .filter(
      ({ completions, ownerFailed }) =>
        completions.length > 1 || (completions.length === 0 && !ownerFailed),
    )
    .map((record) => `${record.request.id} ended ${record.completions.length} times`);

const noneHangs: Check = ({ records }) =>
  records.flatMap((record) => {
    const [completion] = record.completions;
    if (completion === undefined || record.ownerFailed) return [];
    const { deadline, hold } = record.request;
    const ended = (record.endedAt ?? 0) + MAX_TRANSACTION_CONFIRMATION_MS;
    const latest = hold === 'statement' ? deadline : Math.max(deadline, ended);
    return completion.at <= latest + CLOCK_TOLERANCE_MS ? [] : [`${record.request.id} hung`];
  });

const notRunNeverExecuted: Check = ({ records }) =>
  records
    .filter((record) => record.completions[0]?.error instanceof NotRunError)
    .filter((record) => record.executions.length > 0)
    .map((record) => `${record.request.id} was refused as not run, but ran`);

const atMostOnce: Check = ({ records }) =>
  records
    .filter((record) => !record.request.repeatable && record.executions.length > 1)
    .map((record) => `${record.request.id} ran ${record.executions.length} times`);

const noAckFromDeposedPrimary: Check = ({ records }) =>
  records
    .filter((record) => record.request.access === 'write' && wasReleased(record))
    .filter((record) => servingExecutionOf(record)?.onReplacedPrimary === true)
    .map((record) => `${record.request.id} was acknowledged from a deposed primary`);

const ackedWritesLast: Check = ({ records, finalLog }) => {
  const lasting = new Set(finalLog.map((entry) => entry.requestId));
  return records
    .filter((record) => wasReleased(record) && servingExecutionOf(record)?.written !== undefined)
    .filter((record) => !lasting.has(record.request.id))
    .map((record) => `${record.request.id} was acknowledged and lost`);
};

/** Acknowledged writes by request id, with the time of acknowledgement and the session. */
function acknowledgedWrites(
  history: SimulatedHistory,
): Map<string, { at: number; session: number }> {
  const acked = new Map<string, { at: number; session: number }>();
  for (const record of history.records) {
    const [completion] = record.completions;
    if (!wasReleased(record) || completion === undefined) continue;
    if (servingExecutionOf(record)?.written === undefined) continue;
    acked.set(record.request.id, { at: completion.at, session: record.session });
  }
  return acked;
}

const readsAreFreshEnough: Check = (history) => {
  const acked = acknowledgedWrites(history);
  return releasedReads(history).flatMap((record) => {
    const sentAt = record.sentAt[record.sentAt.length - 1] ?? 0;
    const limit = sentAt - record.request.stalenessBoundMs;
    const seen = new Set(servingExecutionOf(record)?.snapshot.map((entry) => entry.requestId));
    const missed = [...acked].filter(([id, write]) => write.at < limit && !seen.has(id));
    return missed.map(([id]) => `${record.request.id} was too stale: it missed ${id}`);
  });
};

const sessionsSeeTheirWrites: Check = (history) => {
  const acked = acknowledgedWrites(history);
  return releasedReads(history).flatMap((record) => {
    const seen = new Set(servingExecutionOf(record)?.snapshot.map((entry) => entry.requestId));
    const own = [...acked].filter(([, write]) => write.session === record.session);
    const missed = own.filter(([id, write]) => write.at < record.arrivedAt && !seen.has(id));
    return missed.map(([id]) => `${record.request.id} did not see its session's ${id}`);
  });
};

const sessionsNeverGoBack: Check = (history) => {
  const acked = acknowledgedWrites(history);
  const seenBySession = new Map<number, Set<string>>();
  return releasedReads(history).flatMap((record) => {
    if (record.request.session.type === 'unknown') return [];
    const snapshot = servingExecutionOf(record)?.snapshot ?? [];
    const now = new Set(snapshot.map((entry) => entry.requestId));
    const before = seenBySession.get(record.session) ?? new Set();
    const missed = [...before].filter((id) => !now.has(id));
    seenBySession.set(record.session, new Set([...now].filter((id) => acked.has(id))));
    return missed.map((id) => `${record.request.id} went back before ${id}`);
  });
};

function releasedReads(history: SimulatedHistory): RequestRecord[] {
  return history.records.filter((record) => {
    return record.request.access === 'read' && wasReleased(record) && record.executions.length > 0;
  });
}

const retriesWithinBudget: Check = ({ records }) => {
  const sent = records.reduce((sum, record) => sum + record.sentAt.length, 0);
  const first = records.filter((record) => record.sentAt.length > 0).length;
  const allowed = RETRY_CAPACITY + RETRY_RATIO * records.length;
  return sent - first > allowed ? [`${sent - first} retries, ${allowed} allowed`] : [];
};

const limitsKept: Check = ({ breaches }) => breaches;

const CHECKS = {
  oneFinalEach,
  noneHangs,
  notRunNeverExecuted,
  atMostOnce,
  noAckFromDeposedPrimary,
  ackedWritesLast,
  readsAreFreshEnough,
  sessionsSeeTheirWrites,
  sessionsNeverGoBack,
  retriesWithinBudget,
  limitsKept,
} satisfies Record<string, Check>;

export type CheckName = keyof typeof CHECKS;

/** Checks of the owners' results, which hold independently of the path to the caller. */
export const OWNER_CHECKS: readonly CheckName[] = [
  'oneFinalEach',
  'noneHangs',
  'notRunNeverExecuted',
  'atMostOnce',
  'noAckFromDeposedPrimary',
  'ackedWritesLast',
  'readsAreFreshEnough',
  'limitsKept',
];

const ALL_CHECKS = Object.keys(CHECKS) as CheckName[];

/** All violations found in a history, each with the name of its check. */
export function findViolations(
  history: SimulatedHistory,
  names: readonly CheckName[] = ALL_CHECKS,
): string[] {
  return names.flatMap((name) => {
    return CHECKS[name](history).map((violation) => `${name}: ${violation}`);
  });
}
