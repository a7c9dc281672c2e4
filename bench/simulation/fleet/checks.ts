/** Judges a run of the fleet: the nine promises as callers see them, and what owners may not do. */
import { checkHistory } from '../../checkers/index.js';
import {
  type CommitRecord,
  EMPTY_HISTORY,
  type History,
  type RequestRecord,
} from '../../history/model.js';
import type { LogEntry, SimulatedGroup } from '../group.js';
import type { SimulatedHistory } from '../history.js';
import { OWNER_CHECKS, servedBy, violationsOf } from '../history-checks.js';
import type { CallerAttempt } from './caller.js';
import { GROUP } from './context.js';
import type { PlannedStop } from './node.js';

/** What a run of the fleet leaves behind. */
export interface FleetRun {
  readonly attempts: readonly CallerAttempt[];
  readonly owners: SimulatedHistory;
  readonly group: SimulatedGroup;
  readonly plannedStops: readonly PlannedStop[];
  readonly endedAt: number;
}

/** All violations, each with the name of its check. */
export function fleetViolations(run: FleetRun): string[] {
  const log = new LastingLog(run.owners.finalLog);
  const promises = checkHistory(historyOf(run, log)).map(({ promise, reason, detail }) => {
    return `${promise}: ${reason}, ${detail}`;
  });
  return [
    ...promises,
    ...violationsOf(run.owners, OWNER_CHECKS),
    ...readsThatWentBack(run.attempts, log),
    ...requestsCutByStops(run.plannedStops),
  ];
}

/** The log that lasted, with the place of each entry. */
class LastingLog {
  readonly #places = new Map<LogEntry, number>();
  readonly #placesOfAttempts = new Map<string, number>();

  constructor(entries: readonly LogEntry[]) {
    for (const [index, entry] of entries.entries()) {
      this.#places.set(entry, index + 1);
      this.#placesOfAttempts.set(attemptOf(entry), index + 1);
    }
  }

  has(entry: LogEntry): boolean {
    return this.#places.has(entry);
  }

  /** Place of the last of an attempt's writes, from 1; zero if it has none. */
  placeOf(attemptId: string): number {
    return this.#placesOfAttempts.get(attemptId) ?? 0;
  }

  /** How far a snapshot reaches in what lasted. */
  reachOf(snapshot: readonly LogEntry[]): number {
    let reach = 0;
    for (const entry of snapshot) reach = Math.max(reach, this.#places.get(entry) ?? 0);
    return reach;
  }
}

/** An owner's request is named after the attempt, with the number of its sending. */
function attemptOf(entry: LogEntry): string {
  return entry.requestId.split('#')[0] ?? '';
}

function sessionOf(entry: LogEntry): string {
  return entry.requestId.split('-')[0] ?? '';
}

function historyOf(run: FleetRun, log: LastingLog): History {
  return {
    ...EMPTY_HISTORY,
    requests: run.attempts.map((attempt) => requestOf(attempt, run, log)),
    commits: run.group.commits.map(({ entry, position }): CommitRecord => {
      const { committedAt } = entry;
      const rows = [effectRowOf(attemptOf(entry))];
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

function requestOf(attempt: CallerAttempt, run: FleetRun, log: LastingLog): RequestRecord {
  const { attemptId, session, access, record } = attempt;
  const key = `orders/s${session.index}`;
  const read = access === 'read' && attempt.outcome === 'done';
  const snapshot = read && record !== undefined ? servedBy(record)?.snapshot : undefined;
  const own = snapshot?.filter((entry) => sessionOf(entry) === `s${session.index}`);
  const wrote = access === 'write' ? placeOfDone(attempt, run, log) : 0;
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
    saw: own === undefined ? [] : [{ key, version: log.reachOf(own) }],
    effectRow: access === 'write' ? effectRowOf(attemptId) : undefined,
    answer: {
      expectedEcho: attemptId,
      receivedEchoes: record === undefined ? [] : [record.request.id.split('#')[0] ?? ''],
      expectedRows: undefined,
      receivedRows: 0,
      answerCount: attempt.answers,
    },
    servedBy: undefined,
    toleratesStaleness: false,
  };
}

/** Where the write lies that a "done" is about: "done earlier" is about any attempt. */
function placeOfDone(attempt: CallerAttempt, run: FleetRun, log: LastingLog): number {
  if (attempt.outcome !== 'done') return 0;
  const own = log.placeOf(attempt.attemptId);
  if (own !== 0) return own;
  const others = run.attempts.filter(({ logicalId }) => logicalId === attempt.logicalId);
  return Math.max(0, ...others.map(({ attemptId }) => log.placeOf(attemptId)));
}

/** A session that carries a token, or stays on one connection, never sees less than before. */
function readsThatWentBack(attempts: readonly CallerAttempt[], log: LastingLog): string[] {
  const reached = new Map<string, { reach: number; attemptId: string }>();
  return attempts.flatMap(({ attemptId, access, outcome, record, monotonicKey }) => {
    if (access !== 'read' || outcome !== 'done' || record === undefined) return [];
    const served = servedBy(record);
    if (served === undefined) return [];
    const reach = log.reachOf(served.snapshot);
    const before = reached.get(monotonicKey);
    if (before === undefined || reach >= before.reach) {
      reached.set(monotonicKey, { reach, attemptId });
      return [];
    }
    const detail = `${attemptId} saw up to ${reach}, ${before.attemptId} up to ${before.reach}`;
    return [`sessionsNeverGoBack: ${detail}`];
  });
}

function requestsCutByStops(stops: readonly PlannedStop[]): string[] {
  const cutting = stops.filter(({ cut }) => cut > 0);
  return cutting.map(({ nodeId, cut }) => {
    return `plannedStopCutsNothing: the planned stop of ${nodeId} cut ${cut} requests on its owner`;
  });
}
