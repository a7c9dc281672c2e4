/** Turns the logs of a group's instances into commits and elections for the checkers. Pure. */
import { MeadowstackError } from '../../src/core/errors.js';
import { parseLsn } from '../../src/core/position.js';
import type { GroupName, InstanceName } from '../../src/core/request.js';
import type { CommitRecord, ElectionRecord } from './model.js';

/** A commit as `GET /log` of an instance's control port gives it. */
export interface LoggedCommit {
  readonly timeline: number;
  readonly lsn: string;
  readonly committedAtMs: number;
  /** `<table>/<primary key> put|delete` or `<table> create|drop`. */
  readonly keys: readonly string[];
}

/** An event as `GET /state` gives it. */
export interface LoggedElection {
  readonly event: string;
  readonly timeline: number;
  readonly atMs: number;
}

/** What one instance tells. */
export interface InstanceLog {
  readonly instance: InstanceName;
  readonly isPrimary: boolean;
  readonly timeline: number;
  readonly entries: readonly LoggedCommit[];
  /** Entries that the instance threw away when it rejoined. */
  readonly discarded: readonly LoggedCommit[];
  readonly events: readonly LoggedElection[];
}

/** A group has no primary whose log could tell what survived. */
export class NoSurvivingLogError extends MeadowstackError {
  readonly code = 'MS-BENCH-LOG';

  constructor(readonly group: GroupName) {
    super(`no instance of ${group} leads at the end of the run`);
  }
}

const PUT_SUFFIX = ' put';

/**
 * All commits that any instance ever logged, each once; those in the log of the primary with the
 * latest timeline survived.
 * @throws NoSurvivingLogError if no instance leads.
 */
export function collectCommits(group: GroupName, logs: readonly InstanceLog[]): CommitRecord[] {
  const survivor = survivingLog(group, logs);
  const surviving = new Set(survivor.entries.map(identityOf));
  const everLogged = new Map<string, LoggedCommit>();
  for (const log of logs) {
    for (const entry of [...log.discarded, ...log.entries])
      everLogged.set(identityOf(entry), entry);
  }
  return [...everLogged].map(([identity, entry]) => ({
    group,
    position: { timeline: entry.timeline, lsn: parseLsn(entry.lsn).unwrapOr(0n) },
    committedAt: entry.committedAtMs,
    rows: rowsOf(entry),
    survived: surviving.has(identity),
  }));
}

/** Every take-over, as the new primaries tell it. */
export function collectElections(group: GroupName, logs: readonly InstanceLog[]): ElectionRecord[] {
  return logs.flatMap(({ instance, events }) =>
    events
      .filter(({ event }) => event === 'elected')
      .map(({ timeline, atMs }) => ({ group, instance, timeline, at: atMs })),
  );
}

function survivingLog(group: GroupName, logs: readonly InstanceLog[]): InstanceLog {
  const primaries = logs.filter((log) => log.isPrimary);
  const [latest] = primaries.sort((left, right) => right.timeline - left.timeline);
  if (latest === undefined) throw new NoSurvivingLogError(group);
  return latest;
}

function identityOf({ timeline, lsn }: LoggedCommit): string {
  return `${timeline}:${lsn}`;
}

function rowsOf({ keys }: LoggedCommit): string[] {
  const puts = keys.filter((key) => key.endsWith(PUT_SUFFIX));
  return puts.map((key) => key.slice(0, -PUT_SUFFIX.length));
}
