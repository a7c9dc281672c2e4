/** Waits until every group has settled, then reads the logs of its instances. */
import { setTimeout as delay } from 'node:timers/promises';
import { MeadowstackError } from '../../src/core/errors.js';
import type { Cluster } from '../harness/cluster.js';
import type { DatabaseGroup } from '../harness/database-group.js';
import { collectCommits, collectElections, type InstanceLog } from '../history/collect.js';
import type { CommitRecord, ElectionRecord } from '../history/model.js';

/** After all faults had ended, a group did not reach one primary that all its other instances follow. */
export class GroupNotSettledError extends MeadowstackError {
  readonly code = 'MS-BENCH-NOT-SETTLED';
}

export interface CollectedLogs {
  readonly commits: readonly CommitRecord[];
  readonly elections: readonly ElectionRecord[];
  /** Number of connections that the instances accepted during the whole run. */
  readonly connectionsOpened: number;
}

/** An instance's log with the fields of its state that are used here. */
interface InstanceReport extends InstanceLog {
  readonly primary: string | undefined;
  /** The instance refuses primaries of timelines before this one. */
  readonly promisedTimeline: number;
  readonly lsn: string;
  readonly connectionsAccepted: number;
}

const SETTLE_TIMEOUT_MS = 15_000;
const SETTLE_POLL_PERIOD_MS = 50;
/** Number of an instance's latest election events that the error message lists. */
const MAX_EVENTS_IN_ERROR = 4;
const CONTROL_TIMEOUT_MS = 2_000;

/** @throws GroupNotSettledError (as a rejection) if a group doesn't settle in time. */
export async function collectLogs(cluster: Cluster): Promise<CollectedLogs> {
  const groups = [...cluster.groups];
  const collected = await Promise.all(
    groups.map(async ([name, group]) => {
      const logs = await waitForSettledLogs(name, group);
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

async function waitForSettledLogs(name: string, group: DatabaseGroup): Promise<InstanceReport[]> {
  const deadline = Date.now() + SETTLE_TIMEOUT_MS;
  let reports: readonly InstanceReport[] = [];
  while (Date.now() < deadline) {
    const latest = await readReports(group);
    if (isSettled(latest)) return latest;
    reports = latest;
    await delay(SETTLE_POLL_PERIOD_MS);
  }
  throw new GroupNotSettledError(
    `${name} did not settle within ${SETTLE_TIMEOUT_MS} ms: ${describeInstances(group, reports)}`,
  );
}

/** The state that each instance reported, so that the error message shows the cause. */
function describeInstances(group: DatabaseGroup, reports: readonly InstanceReport[]): string {
  const described = group.instances.map(({ name }) => {
    const report = reports.find(({ instance }) => instance === name);
    if (report === undefined) return `${name}: no answer`;
    const { isPrimary, timeline, promisedTimeline, primary, lsn, events } = report;
    const role = isPrimary ? 'primary' : `replica of ${primary ?? 'none'}`;
    const lastEvents = events
      .slice(-MAX_EVENTS_IN_ERROR)
      .map(({ event, timeline: of }) => `${event} in ${of}`)
      .join(', ');
    return `${name}: ${role}, timeline ${timeline} (promised ${promisedTimeline}), lsn ${lsn}, last: ${lastEvents}`;
  });
  return described.join('; ');
}

/** True if there is one primary, and all others follow it on the same timeline at the same log position. */
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
    group.instances.map(({ name }) => withTimeout(readReport(group, name)).catch(() => undefined)),
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

async function withTimeout<Value>(work: Promise<Value>): Promise<Value> {
  const timer = new AbortController();
  const timeout = delay(CONTROL_TIMEOUT_MS, undefined, { signal: timer.signal, ref: false }).then(
    () => {
      throw new GroupNotSettledError('an instance does not answer');
    },
  );
  try {
    return await Promise.race([work, timeout]);
  } finally {
    timer.abort();
    timeout.catch(() => undefined);
  }
}
