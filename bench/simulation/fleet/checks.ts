/** Checks a run of the cluster: the nine promises to callers, and the owners' own rules. */
import { checkHistory } from '../../checkers/index.js';
import {
  type CommitRecord,
  EMPTY_HISTORY,
  type History,
  type RequestRecord,
} from '../../history/model.js';
import type { LogEntry, SimulatedGroup } from '../group.js';
import type { SimulatedHistory } from '../history.js';
import { findViolations, OWNER_CHECKS, servingExecutionOf } from '../history-checks.js';
import type { CallerAttempt } from './caller.js';
import { GROUP } from './context.js';
import type { PlannedStop } from './node.js';

/** Record of a run of the simulated cluster. */
export interface FleetRun {
  readonly attempts: readonly CallerAttempt[];
  readonly owners: SimulatedHistory;
  readonly group: SimulatedGroup;
  readonly plannedStops: readonly PlannedStop[];
  readonly endedAt: number;
}

/** All violations, each preceded by the name of its check. */
export function findFleetViolations(run: FleetRun): string[] {
  const log = new SurvivingLog(run.owners.finalLog);
  const promises = checkHistory(historyOf(run, log)).map(({ promise, reason, detail }) => {
    return `${promise}: ${reason}, ${detail}`;
  });
  return [
    ...promises,
    ...findViolations(run.owners, OWNER_CHECKS),
    ...findReadsThatWentBack(run.attempts, log),
    ...findRequestsCutByStops(run.plannedStops),
  ];
}

/** The surviving log, with the index of each entry. */
class SurvivingLog {
  readonly #indexes = new Map<LogEntry, number>();
  readonly #indexesOfAttempts = new Map<string, number>();

  constructor(entries: readonly LogEntry[]) {
    for (const [index, entry] of entries.entries()) {
      this.#indexes.set(entry, index + 1);
      this.#indexesOfAttempts.set(attemptIdOf(entry), index + 1);
    }
  }

  has(entry: LogEntry): boolean {
    return this.#indexes.has(entry);
  }

  /** Index of the attempt's last write, from 1; zero if it has none. */
  indexOfAttempt(attemptId: string): number {
    return this.#indexesOfAttempts.get(attemptId) ?? 0;
  }

  /** Highest index in the surviving log of the entries of a snapshot. */
  highestIndexIn(snapshot: readonly LogEntry[]): number {
    let reach = 0;
    for (const entry of snapshot) reach = Math.max(reach, this.#indexes.get(entry) ?? 0);
    return reach;
  }
}

/** The id of an owner's request is the attempt's id, `#` and the number of the send attempt. */
function attemptIdOf(entry: LogEntry): string {
  return entry.requestId.split('#')[0] ?? '';
}

function sessionOf(entry: LogEntry): string {
  return entry.requestId.split('-')[0] ?? '';
}

function historyOf(run: FleetRun, log: SurvivingLog): History {
  return {
    ...EMPTY_HISTORY,
    requests: run.attempts.map((attempt) => requestOf(attempt, run, log)),
    commits: run.group.commits.map(({ entry, position }): CommitRecord => {
      const { committedAt } = entry;
      const rows = [effectRowOf(attemptIdOf(entry))];
      return { group: GROUP, position, committedAt, rows, survived: log.has(entry) };
    }),
    elections: run.group.elections.map((election) => ({ group: GROUP, ...election })),
    plannedStops: run.plannedStops.flatMap(({ nodeId, requestedAt, exitedAt }) => {
      return exitedAt === undefined ? [] : [{ proxy: nodeId, requestedAt, exitedAt, exitCode: 0 }];
    }),
    endedAt: run.endedAt,
  };
}

function effectRowOf(attemptId: string): string {
  return `effects/${attemptId}`;
}

function requestOf(attempt: CallerAttempt, run: FleetRun, log: SurvivingLog): RequestRecord {
  const { attemptId, session, access, record } = attempt;
  const key = `orders/s${session.index}`;
  const read = access === 'read' && attempt.outcome === 'done';
  const snapshot = read && record !== undefined ? servingExecutionOf(record)?.snapshot : undefined;
  const own = snapshot?.filter((entry) => sessionOf(entry) === `s${session.index}`);
  const wrote = access === 'write' ? indexOfWrite(attempt, run, log) : 0;
  return {
    attemptId,
    logicalId: attempt.logicalId,
    tenant: session.key.tenant,
    sessionId: session.key.sessionId,
    proxy: attempt.node,
    group: GROUP,
    kind: 'default',
    access,
    repeatable: attempt.repeatable,
    intendedAt: attempt.sentAt,
    sentAt: attempt.sentAt,
    endedAt: attempt.endedAt,
    ending: attempt.ending,
    outcome: attempt.outcome,
    errorCode: attempt.errorCode,
    retryAfterMs: undefined,
    wrote: wrote === 0 ? [] : [{ key, version: wrote }],
    saw: own === undefined ? [] : [{ key, version: log.highestIndexIn(own) }],
    effectRow: access === 'write' ? effectRowOf(attemptId) : undefined,
    answer: {
      expectedEcho: attemptId,
      receivedEchoes: record === undefined ? [] : [record.request.id.split('#')[0] ?? ''],
      expectedRows: undefined,
      receivedRows: 0,
      answerCount: attempt.answerCount,
    },
    servedBy: undefined,
    toleratesStaleness: false,
  };
}

/** Index of the write that a "done" acknowledges; "done earlier" may acknowledge any attempt. */
function indexOfWrite(attempt: CallerAttempt, run: FleetRun, log: SurvivingLog): number {
  if (attempt.outcome !== 'done') return 0;
  const own = log.indexOfAttempt(attempt.attemptId);
  if (own !== 0) return own;
  const others = run.attempts.filter(({ logicalId }) => logicalId === attempt.logicalId);
  return Math.max(0, ...others.map(({ attemptId }) => log.indexOfAttempt(attemptId)));
}

/** A session that carries a token or stays on one connection never reads older data than before. */
function findReadsThatWentBack(attempts: readonly CallerAttempt[], log: SurvivingLog): string[] {
  const reached = new Map<string, { reach: number; attemptId: string }>();
  return attempts.flatMap(({ attemptId, access, outcome, record, monotonicKey }) => {
    if (access !== 'read' || outcome !== 'done' || record === undefined) return [];
    const served = servingExecutionOf(record);
    if (served === undefined) return [];
    const reach = log.highestIndexIn(served.snapshot);
    const before = reached.get(monotonicKey);
    if (before === undefined || reach >= before.reach) {
      reached.set(monotonicKey, { reach, attemptId });
      return [];
    }
    const detail = `${attemptId} saw up to ${reach}, ${before.attemptId} up to ${before.reach}`;
    return [`sessionsNeverGoBack: ${detail}`];
  });
}

function findRequestsCutByStops(stops: readonly PlannedStop[]): string[] {
  const cutting = stops.filter(({ cutCount }) => cutCount > 0);
  return cutting.map(({ nodeId, cutCount }) => {
    return `plannedStopCutsNothing: the planned stop of ${nodeId} cut ${cutCount} requests on its owner`;
  });
}
