/**
 * The direct gateway's figures as text for Prometheus. The library is loaded with the first question,
 * since a start costs time while the machine serves nobody.
 */
import type { LatencyHistogram } from '../observability/latency-histogram.js';
import type { StoreCallTally } from '../observability/store-call-tally.js';
import type { DirectCounters, DirectGateway } from './gateway.js';
import type { ReaderCounters } from './readers/contract.js';
import type { DigestCounters } from './readers/digest-exchange.js';
import type { ReaderStore } from './readers/reader-store.js';
import type { PeerSnapshots, SnapshotCounters } from './snapshots/service.js';

const COUNTER_HELP: Readonly<Record<keyof DirectCounters, string>> = {
  statements: 'statements of callers taken',
  refused: 'statements refused by this node',
  failed: 'statements that an instance answered with an error',
  refusedAtStop:
    'requests that came as a stopping node told their session to leave, refused by that',
  transactionsIdled: 'transactions ended for resting too long',
  connectionsOpened: 'connections opened to instances',
  connectFailures: 'connections to instances that could not be opened',
  waitTimeouts: 'waits for a connection that ended without one',
  queueRefusals: 'statements refused because too many of their tenant waited',
  turnRefusals: 'statements refused at once since their turn at the instance would come too late',
  untriedRefusals:
    'statements refused since they had waited half of their time without being tried',
  samplesAsked: 'questions to primaries for their log position',
  replicaRounds: 'rounds of questions to replicas for their positions, while a primary is away',
  proofRounds: 'rounds of questions to all members of a group, to prove its primary',
  proofsFailed: 'such rounds that proved nothing',
  leasesAsked: 'connections asked for at the owners of instances',
  leasesRefused: 'such requests that an owner refused or did not answer',
  leasesLost: 'leased connections that ended with their owner or its link',
  leasesGiven: 'connections lent to other nodes',
  readsAsked: 'reads that owners of instances were asked to run',
  readsRun: 'reads run for other nodes',
  positionsTold: 'positions of instances told to other nodes',
  keysUnknown: 'requests and sessions refused since no tenant holds their key',
  keysUnproven:
    'requests and sessions refused since the configuration may be older than the bound of revocation',
  quotaRefusals: 'operations refused since their tenant has used up its quota',
  quotaUnknown: 'operations refused since no node could be asked for the quota of their tenant',
  quotaAsked: 'questions to other nodes for the quota of a tenant',
  ejections: 'instances that this node took out of the choice for reads',
  ejectionsEnded: 'instances that this node gives reads again after that',
};

const SNAPSHOT_HELP: Readonly<Record<keyof SnapshotCounters, string>> = {
  asked: 'questions to other nodes for their directory',
  answered: 'such questions of other nodes that were answered',
  malformed: 'answers of other nodes that had not their form',
  adopted: 'answers of other nodes that were looked at',
};

const READER_HELP: Readonly<Record<keyof ReaderCounters, string>> = {
  eventsFromReaders: 'changes of the store that readers told this node',
  fallbacks: 'times that this node went back to the store since its readers did not serve it',
  eventsPassed: 'changes that the store told and that were taken for known',
  eventsTold: 'changes of the store told to other nodes',
};

const DIGEST_HELP: Readonly<Record<keyof DigestCounters, string>> = {
  taken: 'digests of instances that other nodes told and that were taken',
  malformed: 'messages with digests that had not their form',
  unknownInstance: 'digests of instances that are not known, as of an earlier life',
  stale: 'digests that were too old',
  implausible: 'digests with impossible figures',
};

const PREFIX = 'meadowstack_direct_';

/** Figures in the text form that Prometheus reads. */
export interface Exposition {
  readonly contentType: string;
  readonly text: string;
}

/** What a store client tells of the store's returns from a copy. */
export interface StoreMetrics {
  readonly era: number;
  /** Rises of the era heard of. */
  readonly returns: number;
  /** Watches refused since the store has not their history. */
  readonly historiesGone: number;
  /** Answers that could not be placed in an era. */
  readonly unusable: number;
}

/** Where the figures come from. */
export interface MetricSources {
  readonly gateway: DirectGateway;
  readonly snapshots?: PeerSnapshots | undefined;
  readonly readers?: ReaderStore | undefined;
  readonly digests?: DigestCounters | undefined;
  readonly store?: StoreMetrics | undefined;
  readonly storeCalls?: StoreCallTally | undefined;
  /** Lines of the log that nobody read in time. */
  readonly logLinesDropped: number;
}

/** What the gateway has counted since it started, and what it holds now. */
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
    count('peer_frames_malformed', 'links of other nodes ended for a bad frame', framesMalformed);
    count('peer_handshakes_refused', 'links of strangers that were refused', handshakesRefused);
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
    count('store_returns', 'times that the store came back from a copy', store.returns);
    count('store_histories_gone', 'watches whose history the store had not', store.historiesGone);
    count(
      'store_answers_unusable',
      'answers that name no era, or one that is over',
      store.unusable,
    );
  }
  if (storeCalls !== undefined) {
    const calls = new Counter({
      name: `${metricName('store_calls')}_total`,
      help: 'calls to the store by what they are for, polls of watches included',
      labelNames: ['kind', 'outcome'],
      registers,
    });
    for (const { kind, outcome, count } of storeCalls.counts()) calls.inc({ kind, outcome }, count);
  }
  count('log_lines_dropped', 'lines of the log that were not read in time', logLinesDropped);
  const gauge = (name: string, help: string, value: number): void =>
    new Gauge({ name: PREFIX + name, help, registers }).set(value);
  gauge('sessions', 'sessions of callers that are open', gateway.sessionCount);
  gauge('instance_connections', 'connections to instances', gateway.connectionCount);
  gauge('leased_connections', 'connections that other nodes lend', gateway.leasedCount);
  gauge('lent_connections', 'leases of other nodes at this one', gateway.lentCount);
  gauge('configuration_version', 'version in force, 0 before the first', gateway.version ?? 0);
  gauge('peers_known', 'other nodes that may be asked', snapshots?.peersKnown ?? 0);
  gauge('instances_ejected', 'instances that get no reads now', gateway.ejectedCount);
  gauge('store_era', 'how often the store came back from a copy, by its own word', store?.era ?? 0);
  gauge('store_watches', 'prefixes watched at the store itself', readers?.directWatches ?? 0);
  gauge('ready', '1 if new connections are taken', gateway.ready ? 1 : 0);
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
