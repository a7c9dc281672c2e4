/** Reads the logs of all instances that still answer, once every group has settled. */
import { setTimeout as delay } from 'node:timers/promises';
import { MeadowstackError } from '../../src/core/errors.js';
import type { Cluster } from '../harness/cluster.js';
import type { DatabaseGroup } from '../harness/database-group.js';
import { collectCommits, collectElections, type InstanceLog } from '../history/collect.js';
import type { CommitRecord, ElectionRecord } from '../history/model.js';

/** A group did not come to one primary that the others follow after all faults had ended. */
export class GroupNotSettledError extends MeadowstackError {
  readonly code = 'MS-BENCH-NOT-SETTLED';
}

export interface CollectedLogs {
  readonly commits: readonly CommitRecord[];
  readonly elections: readonly ElectionRecord[];
  /** Connections that the instances accepted over the whole run. */
  readonly connectionsOpened: number;
}

/** An instance's log with what else of it is needed. */
interface InstanceReport extends InstanceLog {
  readonly primary: string | undefined;
  /** The instance refuses primaries of earlier timelines. */
  readonly promisedTimeline: number;
  readonly lsn: string;
  readonly connectionsAccepted: number;
}

const SETTLE_LIMIT_MS = 15_000;
const SETTLE_POLL_MS = 50;
/** Latest election events of each instance that the error tells. */
const EVENTS_TOLD = 4;
const CONTROL_TIMEOUT_MS = 2_000;

/** @throws GroupNotSettledError (as a rejection) if a group has no primary in the end. */
export async function collectLogs(cluster: Cluster): Promise<CollectedLogs> {
  const groups = [...cluster.groups];
  const collected = await Promise.all(
    groups.map(async ([name, group]) => {
      const logs = await settledLogs(name, group);
      return {
        commits: collectCommits(name, logs),
        elections: collectElections(name, logs),
        connectionsOpened: logs.reduce((sum, log) => sum + log.connectionsAccepted, 0),
      };
    }),
  );
  return {
    commits: collected.flatMap(({ commits }) => commits),
    elections: collected.flatMap(({ elections }) => elections),
    connectionsOpened: collected.reduce((sum, one) => sum + one.connectionsOpened, 0),
  };
}

async function settledLogs(name: string, group: DatabaseGroup): Promise<InstanceReport[]> {
  const until = Date.now() + SETTLE_LIMIT_MS;
  let reports: readonly InstanceReport[] = [];
  while (Date.now() < until) {
    const latest = await readReports(group);
    if (isSettled(latest)) return latest;
    reports = latest;
    await delay(SETTLE_POLL_MS);
  }
  throw new GroupNotSettledError(
    `${name} did not settle within ${SETTLE_LIMIT_MS} ms: ${describeInstances(group, reports)}`,
  );
}

/** What each instance said of itself, so that the cause can be read from the error alone. */
function describeInstances(group: DatabaseGroup, reports: readonly InstanceReport[]): string {
  const described = group.instances.map(({ name }) => {
    const report = reports.find(({ instance }) => instance === name);
    if (report === undefined) return `${name}: no answer`;
    const { isPrimary, timeline, promisedTimeline, primary, lsn, events } = report;
    const role = isPrimary ? 'primary' : `replica of ${primary ?? 'none'}`;
    const last = events
      .slice(-EVENTS_TOLD)
      .map(({ event, timeline: of }) => `${event} in ${of}`)
      .join(', ');
    return `${name}: ${role}, timeline ${timeline} (promised ${promisedTimeline}), lsn ${lsn}, last: ${last}`;
  });
  return described.join('; ');
}

/** One primary, which all others follow in the same timeline with the same log. */
function isSettled(reports: readonly InstanceReport[]): boolean {
  const primaries = reports.filter((report) => report.isPrimary);
  const [primary] = primaries;
  if (primary === undefined || primaries.length > 1) return false;
  return reports.every(
    (report) =>
      report.timeline === primary.timeline &&
      report.lsn === primary.lsn &&
      (report.isPrimary || report.primary === primary.instance),
  );
}

async function readReports(group: DatabaseGroup): Promise<InstanceReport[]> {
  const reports = await Promise.all(
    group.instances.map(({ name }) => withinLimit(readReport(group, name)).catch(() => undefined)),
  );
  return reports.filter((report) => report !== undefined);
}

async function readReport(group: DatabaseGroup, name: string): Promise<InstanceReport> {
  const [state, log] = await Promise.all([group.state(name), group.commitLog(name)]);
  return {
    instance: name,
    isPrimary: state.role === 'primary',
    timeline: state.timeline,
    promisedTimeline: state.promisedTimeline,
    primary: state.primary,
    lsn: state.lsn,
    connectionsAccepted: state.connectionsAccepted,
    events: state.history,
    ...log,
  };
}

async function withinLimit<Value>(work: Promise<Value>): Promise<Value> {
  const timer = new AbortController();
  const limit = delay(CONTROL_TIMEOUT_MS, undefined, { signal: timer.signal, ref: false }).then(
    () => {
      throw new GroupNotSettledError('an instance does not answer');
    },
  );
  try {
    return await Promise.race([work, limit]);
  } finally {
    timer.abort();
    limit.catch(() => undefined);
  }
}
