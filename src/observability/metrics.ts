/** Counters, gauges and histograms of one node, in a separate prom-client registry. */
import { Counter, collectDefaultMetrics, Gauge, Histogram, Registry } from 'prom-client';
import type { NotRunReason, UnknownReason } from '../core/errors.js';

/** How a request ended; `not-run`: it was not executed. */
export type RequestOutcome = 'done' | 'not-run' | 'unknown' | 'failed';
/** Role of the instance that executed a request; `none` if no instance did. */
export type RequestRoute = 'primary' | 'replica' | 'none';
/** Peer of a connection. */
export type ConnectionSide = 'caller' | 'backend' | 'peer';

export interface NodeMetrics {
  readonly registry: Registry;
  /** Finished requests. `kind` is a marker that tenants set; the configuration limits its values. */
  readonly requests: Counter<'outcome' | 'kind' | 'route'>;
  readonly requestSeconds: Histogram<'kind' | 'route'>;
  readonly queueDepth: Gauge<'group'>;
  readonly running: Gauge<'group'>;
  readonly openConnections: Gauge<'side'>;
  /** Attempts to open back-end connections, including those of probes. */
  readonly connectionsOpened: Counter;
  /** Requests refused without being executed, by the reason in the error. */
  readonly notRun: Counter<'reason'>;
  readonly unknown: Counter<'reason'>;
  readonly retries: Counter;
  readonly confirmationsSent: Counter<'group'>;
  readonly writesConfirmed: Counter<'group'>;
  readonly replicaReads: Counter<'group'>;
  readonly primaryReads: Counter<'group'>;
  readonly eligibleReplicaReads: Counter<'group'>;
  readonly primaryChanges: Counter;
  readonly groupTimeline: Gauge<'group'>;
  readonly cancelsSent: Counter;
  readonly notificationsDropped: Counter;
  readonly protocolViolations: Counter;
  readonly foreignInstances: Counter;
  readonly peerLinks: Counter<'event'>;
  readonly peerFrames: Counter<'fault'>;
  readonly peerBytes: Counter<'direction'>;
  readonly configurationRevision: Gauge;
  readonly configurationAppliedSeconds: Gauge;
  readonly members: Gauge<'state'>;
  readonly storeRequests: Counter;
  readonly draining: Gauge;
}

/** Why a request was not executed, or why its outcome is unknown. */
export type RefusalReason = NotRunReason | UnknownReason;

const PREFIX = 'meadowstack_';
/** From a statement over loopback (0.1 ms) to the duration of a failover. */
const LATENCY_BUCKETS_SECONDS = [
  0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5,
];

/** `node` labels every sample; `includeProcess` adds prom-client's default process metrics. */
export function createMetrics(node: string, includeProcess = true): NodeMetrics {
  const registry = new Registry();
  registry.setDefaultLabels({ node });
  if (includeProcess) collectDefaultMetrics({ register: registry });
  const registers = [registry];
  const counter = <Label extends string = never>(
    name: string,
    help: string,
    labelNames: Label[] = [],
  ): Counter<Label> => new Counter({ name: PREFIX + name, help, labelNames, registers });
  const gauge = <Label extends string = never>(
    name: string,
    help: string,
    labelNames: Label[] = [],
  ): Gauge<Label> => new Gauge({ name: PREFIX + name, help, labelNames, registers });
  const histogram = <Label extends string>(
    name: string,
    help: string,
    labelNames: Label[],
  ): Histogram<Label> =>
    new Histogram({
      name: PREFIX + name,
      help,
      labelNames,
      registers,
      buckets: LATENCY_BUCKETS_SECONDS,
    });
  return {
    registry,
    requests: counter('requests_total', 'Requests that ended', ['outcome', 'kind', 'route']),
    requestSeconds: histogram('request_seconds', 'Arrival to answer', ['kind', 'route']),
    queueDepth: gauge('queue_depth', 'Requests waiting', ['group']),
    running: gauge('running_requests', 'Requests running on a back end', ['group']),
    openConnections: gauge('open_connections', 'Connections open', ['side']),
    connectionsOpened: counter('backend_connections_opened_total', 'Back-end connections tried'),
    notRun: counter('not_run_total', 'Requests refused as not run', ['reason']),
    unknown: counter('unknown_total', 'Requests of unknown outcome', ['reason']),
    retries: counter('retries_total', 'Requests sent again by the proxy'),
    confirmationsSent: counter('confirmations_total', 'Confirmation rounds', ['group']),
    writesConfirmed: counter('writes_confirmed_total', 'Writes confirmed', ['group']),
    replicaReads: counter('replica_reads_total', 'Reads served by replicas', ['group']),
    primaryReads: counter('primary_reads_total', 'Reads served by primaries', ['group']),
    eligibleReplicaReads: counter(
      'eligible_replica_reads_total',
      'Reads that a replica could lawfully have served',
      ['group'],
    ),
    primaryChanges: counter('primary_changes_total', 'Changes of the primary'),
    groupTimeline: gauge('group_timeline', 'Timeline adopted', ['group']),
    cancelsSent: counter('cancels_total', 'CancelRequests sent to back ends'),
    notificationsDropped: counter('notifications_dropped_total', 'NotificationResponse dropped'),
    foreignInstances: counter(
      'backend_foreign_instances_total',
      'Connections refused because the instance belongs to another database system than its group',
    ),
    protocolViolations: counter(
      'backend_protocol_violations_total',
      'Back-end connections closed over unlawful messages',
    ),
    peerLinks: counter('peer_links_total', 'Links between proxies', ['event']),
    peerFrames: counter('peer_frames_refused_total', 'Frames dropped or malformed', ['fault']),
    peerBytes: counter('peer_bytes_total', 'Bytes between proxies', ['direction']),
    configurationRevision: gauge('configuration_revision', 'Revision in force'),
    configurationAppliedSeconds: gauge(
      'configuration_applied_timestamp_seconds',
      'Unix time at which the revision in force was applied',
    ),
    members: gauge('members', 'Members known, by state', ['state']),
    storeRequests: counter('store_requests_total', 'Requests to the store'),
    draining: gauge('draining', '1 while the node drains'),
  };
}

/** Returns a function that raises a counter to a total kept elsewhere, such as in a transport's counters. */
export function syncCounter<Label extends string>(
  counter: Counter<Label>,
  labels: Record<Label, string>,
): (total: number) => void {
  let last = 0;
  return (total) => {
    if (total > last) counter.inc(labels as Partial<Record<Label, string | number>>, total - last);
    last = Math.max(last, total);
  };
}
