/**
 * The direct gateway's metrics in the Prometheus text format. The library is loaded at the first scrape to
 * keep the start of the process short.
 */
import type { LatencyHistogram } from '../observability/latency-histogram.js';
import type { StoreCallTally } from '../observability/store-call-tally.js';
import type { DirectCounters, DirectGateway } from './gateway.js';
import type { ReaderCounters } from './readers/contract.js';
import type { DigestCounters } from './readers/digest-exchange.js';
import type { ReaderStore } from './readers/reader-store.js';
import type { PeerSnapshots, SnapshotCounters } from './snapshots/service.js';

const COUNTER_HELP: Readonly<Record<keyof DirectCounters, string>> = {
  statements: 'statements received from callers',
  refused: 'statements refused by this node',
  failed: 'statements to which an instance responded with an error',
  refusedAtStop:
    'requests refused because they arrived after their session was told that the node is stopping',
  transactionsIdled: 'transactions aborted by the idle timeout',
  connectionsOpened: 'connections opened to instances',
  connectFailures: 'connections to instances that could not be opened',
  waitTimeouts: 'waits for a connection that timed out',
  queueRefusals: 'statements refused because too many statements of their tenant were waiting',
  turnRefusals: 'statements refused immediately because their expected wait was too long',
  untriedRefusals:
    'statements refused because they had waited for half of their time without an attempt',
  samplesAsked: 'queries to primaries for their log position',
  replicaRounds: 'rounds of position queries to replicas while the primary was unavailable',
  replicaRoundsUnproven:
    'rounds of position queries to replicas without effect, since this node may not know all members',
  proofRounds: 'rounds of queries to all members of a group to prove its primary',
  proofsFailed: 'rounds of queries to all members of a group that proved nothing',
  leasesAsked: 'connections requested from the owners of instances',
  leasesRefused: 'connection requests that an owner refused or did not respond to',
  leasesLost: 'leased connections that ended because their owner or the link to it failed',
  leasesGiven: 'connections lent to other nodes',
  readsAsked: 'reads that the owners of instances were requested to run',
  readsRun: 'reads run for other nodes',
  positionsTold: 'log positions of instances sent to other nodes',
  keysUnknown: 'requests and sessions refused because their key belongs to no tenant',
  keysUnproven:
    'requests and sessions refused because the configuration may be older than the revocation time',
  quotaRefusals: 'operations refused because their tenant has used up its quota',
  quotaUnknown: "operations refused because no node could be asked for their tenant's quota",
  quotaAsked: "requests to other nodes for a tenant's quota",
  ejections: 'ejections of instances from the selection for reads',
  ejectionsEnded: 'instances that this node gave reads again after an ejection',
};

const SNAPSHOT_HELP: Readonly<Record<keyof SnapshotCounters, string>> = {
  asked: 'requests to other nodes for a directory snapshot',
  answered: 'snapshot requests of other nodes that this node answered',
  malformed: 'malformed snapshots from other nodes',
  adopted: 'well-formed snapshots from other nodes that were evaluated',
};

const READER_HELP: Readonly<Record<keyof ReaderCounters, string>> = {
  eventsFromReaders: 'store changes that readers relayed to this node',
  fallbacks: 'switches back to the store because no reader served this node',
  eventsPassed: 'store changes received from the store and treated as already known',
  eventsTold: 'store changes relayed to other nodes',
};

const DIGEST_HELP: Readonly<Record<keyof DigestCounters, string>> = {
  taken: 'accepted instance digests from other nodes',
  malformed: 'malformed messages with digests',
  unknownInstance: 'digests of unknown instances, for example of an earlier incarnation',
  stale: 'digests that were too old',
  implausible: 'digests with impossible values',
};

const PREFIX = 'meadowstack_direct_';

/** Metrics in the Prometheus text format. */
export interface Exposition {
  readonly contentType: string;
  readonly text: string;
}

/** Counters of a store client about restores of the store from a backup. */
export interface StoreMetrics {
  readonly era: number;
  /** Observed increases of the store era. */
  readonly returns: number;
  /** Watches refused because the store no longer has the history that they need. */
  readonly historiesGone: number;
  /** Responses that name no store era, or an earlier one. */
  readonly unusable: number;
}

/** The components that the metrics are read from. */
export interface MetricSources {
  readonly gateway: DirectGateway;
  readonly snapshots?: PeerSnapshots | undefined;
  readonly readers?: ReaderStore | undefined;
  readonly digests?: DigestCounters | undefined;
  readonly store?: StoreMetrics | undefined;
  readonly storeCalls?: StoreCallTally | undefined;
  /** Log lines that were not read in time. */
  readonly logLinesDropped: number;
}

/** Renders the counters since the start of the process, the current gauges and the histograms. */
export async function exposeMetrics(sources: MetricSources): Promise<Exposition> {
  const { gateway, snapshots, readers, digests, store, storeCalls, logLinesDropped } = sources;
  const { Counter, Gauge, Registry } = await import('prom-client');
  const registry = new Registry();
  const registers = [registry];
  const count = (name: string, help: string, value: number): void =>
    new Counter({ name: `${metricName(name)}_total`, help, registers }).inc(value);
  for (const [name, help] of Object.entries(COUNTER_HELP)) {
    const value = gateway.counters[name as keyof DirectCounters];
    count(name, help, value);
  }
  if (snapshots !== undefined) {
    for (const [name, help] of Object.entries(SNAPSHOT_HELP)) {
      count(`snapshots_${name}`, help, snapshots.counters[name as keyof SnapshotCounters]);
    }
    const { framesMalformed, handshakesRefused } = snapshots.transport.counters();
    count('peer_frames_malformed', 'peer links closed after a malformed frame', framesMalformed);
    count('peer_handshakes_refused', 'refused handshakes of peer links', handshakesRefused);
  }
  if (readers !== undefined) {
    for (const [name, help] of Object.entries(READER_HELP)) {
      count(`readers_${name}`, help, readers.counters[name as keyof ReaderCounters]);
    }
  }
  if (digests !== undefined) {
    for (const [name, help] of Object.entries(DIGEST_HELP)) {
      count(`digests_${name}`, help, digests[name as keyof DigestCounters]);
    }
  }
  if (store !== undefined) {
    count('store_returns', 'restores of the store from a backup', store.returns);
    count(
      'store_histories_gone',
      'watches refused because the store no longer has their history',
      store.historiesGone,
    );
    count(
      'store_answers_unusable',
      'store responses that name no era or an earlier one',
      store.unusable,
    );
  }
  if (storeCalls !== undefined) {
    const calls = new Counter({
      name: `${metricName('store_calls')}_total`,
      help: 'calls to the store by purpose, including polls of watches',
      labelNames: ['kind', 'outcome'],
      registers,
    });
    for (const { kind, outcome, count } of storeCalls.counts()) calls.inc({ kind, outcome }, count);
  }
  count(
    'log_lines_dropped',
    'log lines dropped because they were not read in time',
    logLinesDropped,
  );
  const gauge = (name: string, help: string, value: number): void =>
    new Gauge({ name: PREFIX + name, help, registers }).set(value);
  gauge('sessions', 'open sessions of callers', gateway.sessionCount);
  gauge('instance_connections', 'connections to instances', gateway.connectionCount);
  gauge('leased_connections', 'connections borrowed from other nodes', gateway.leasedCount);
  gauge('lent_connections', 'connections lent to other nodes', gateway.lentCount);
  gauge('configuration_version', 'current version, 0 before the first', gateway.version ?? 0);
  gauge('peers_known', 'other nodes that can be queried', snapshots?.peersKnown ?? 0);
  gauge('instances_ejected', 'instances that currently get no reads', gateway.ejectedCount);
  gauge('store_era', 'restores from a backup as counted by the store', store?.era ?? 0);
  gauge('store_watches', 'prefixes watched at the store directly', readers?.directWatches ?? 0);
  gauge('reader_prefixes', 'prefixes that readers serve now', readers?.servedPrefixes ?? 0);
  gauge('ready', '1 if new connections are accepted', gateway.ready ? 1 : 0);
  const histograms = Object.values<LatencyHistogram>({ ...gateway.latencies });
  const text = histograms.map((histogram) => histogram.expose(PREFIX));
  return {
    contentType: registry.contentType,
    text: [await registry.metrics(), ...text].join('\n'),
  };
}

/** `connectFailures` becomes `meadowstack_direct_connect_failures`. */
function metricName(counter: string): string {
  return PREFIX + counter.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
