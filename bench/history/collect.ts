/** Converts the logs of a group's instances to commits and elections for the checkers. No I/O. */
import { MeadowstackError } from '../../src/core/errors.js';
import { parseLsn } from '../../src/core/position.js';
import type { GroupName, InstanceName } from '../../src/core/request.js';
import type { CommitRecord, ElectionRecord } from './model.js';

/** A commit as returned by `GET /log` of an instance's control port. */
export interface LoggedCommit {
  readonly timeline: number;
  readonly lsn: string;
  readonly committedAtMs: number;
  /** `<table>/<primary key> put|delete` or `<table> create|drop`. */
  readonly keys: readonly string[];
}

/** An event as returned by `GET /state`. */
export interface LoggedElection {
  readonly event: string;
  readonly timeline: number;
  readonly atMs: number;
}

/** Log and state of one instance. */
export interface InstanceLog {
  readonly instance: InstanceName;
  readonly isPrimary: boolean;
  readonly timeline: number;
  readonly entries: readonly LoggedCommit[];
  /** Entries that the instance discarded when it rejoined the group. */
  readonly discarded: readonly LoggedCommit[];
  readonly events: readonly LoggedElection[];
}

/** The group has no primary, so its surviving log is unknown. */
export class NoSurvivingLogError extends MeadowstackError {
  readonly code = 'MS-BENCH-LOG';

  constructor(readonly group: GroupName) {
    super(`no instance of ${group} is primary at the end of the run`);
  }
}

const PUT_SUFFIX = ' put';

/**
 * All commits that any instance ever logged, each once. Commits in the log of the primary with the
 * latest timeline survived.
 * @throws NoSurvivingLogError if no instance is primary.
 */
export function collectCommits(group: GroupName, logs: readonly InstanceLog[]): CommitRecord[] {
  const survivor = selectSurvivingLog(group, logs);
  const surviving = new Set(survivor.entries.map(commitIdOf));
  const everLogged = new Map<string, LoggedCommit>();
  for (const log of logs) {
    for (const entry of [...log.discarded, ...log.entries])
      everLogged.set(commitIdOf(entry), entry);
  }
  return [...everLogged].map(([identity, entry]) => ({
    group,
    position: { timeline: entry.timeline, lsn: parseLsn(entry.lsn).unwrapOr(0n) },
    committedAt: entry.committedAtMs,
    rows: rowsOf(entry),
    survived: surviving.has(identity),
  }));
}

/** All promotions, as recorded by the new primaries. */
export function collectElections(group: GroupName, logs: readonly InstanceLog[]): ElectionRecord[] {
  return logs.flatMap(({ instance, events }) =>
    events
      .filter(({ event }) => event === 'elected')
      .map(({ timeline, atMs }) => ({ group, instance, timeline, at: atMs })),
  );
}

function selectSurvivingLog(group: GroupName, logs: readonly InstanceLog[]): InstanceLog {
  const primaries = logs.filter((log) => log.isPrimary);
  const [latest] = primaries.sort((left, right) => right.timeline - left.timeline);
  if (latest === undefined) throw new NoSurvivingLogError(group);
  return latest;
}

function commitIdOf({ timeline, lsn }: LoggedCommit): string {
  return `${timeline}:${lsn}`;
}

function rowsOf({ keys }: LoggedCommit): string[] {
  const puts = keys.filter((key) => key.endsWith(PUT_SUFFIX));
  return puts.map((key) => key.slice(0, -PUT_SUFFIX.length));
}
