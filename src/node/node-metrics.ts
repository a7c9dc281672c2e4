/**
 * Records a node's metrics: requests when they end; gauges, and totals that the services count
 * themselves, before each scrape.
 */
import { type NodeMetrics, type RequestRoute, syncCounter } from '../observability/metrics.js';
import type { EndedRequest } from './gateway/request-metrics.js';
import type { GroupStatus, NodeStatus } from './node-status.js';

const MILLISECONDS_PER_SECOND = 1000;
const MEMBER_STATES = ['alive', 'suspect', 'leaving', 'dead'] as const;

/** Raises a counter to the given total. */
type SetTotal = (total: number) => void;

/** Totals of one group; they start at zero again when this node becomes its owner again. */
interface GroupTotals {
  readonly replicaReads: SetTotal;
  readonly primaryReads: SetTotal;
  readonly eligibleReplicaReads: SetTotal;
  readonly confirmationsSent: SetTotal;
  readonly writesConfirmed: SetTotal;
}

/** Records a node's requests and status in its metrics. */
export class NodeMetricsRecorder {
  readonly #metrics: NodeMetrics;
  readonly #totals: ReturnType<typeof nodeTotals>;
  readonly #groups = new Map<string, GroupTotals>();
  #lastRevision = 0;

  constructor(metrics: NodeMetrics) {
    this.#metrics = metrics;
    this.#totals = nodeTotals(metrics);
  }

  requestEnded(request: EndedRequest): void {
    const { kind, outcome, reason, elapsedMs } = request;
    const route: RequestRoute = outcome === 'done' ? request.route : 'none';
    this.#metrics.requests.inc({ outcome, kind, route });
    this.#metrics.requestSeconds.observe({ kind, route }, elapsedMs / MILLISECONDS_PER_SECOND);
    if (reason === undefined) return;
    if (outcome === 'not-run') this.#metrics.notRun.inc({ reason });
    if (outcome === 'unknown') this.#metrics.unknown.inc({ reason });
  }

  /** Updates gauges and totals from the status. */
  refresh(status: NodeStatus): void {
    const metrics = this.#metrics;
    metrics.draining.set(status.state === 'leaving' ? 1 : 0);
    metrics.openConnections.set({ side: 'caller' }, status.callers);
    this.#recordRevision(status.configuration.revision);
    for (const state of MEMBER_STATES) {
      const members = status.members.filter((member) => member.status === state);
      metrics.members.set({ state }, members.length);
    }
    let backendConnections = 0;
    let retries = 0;
    for (const group of status.groups) {
      this.#refreshGroup(group);
      backendConnections += group.connectionsOpen;
      retries += group.retries;
    }
    metrics.openConnections.set({ side: 'backend' }, backendConnections);
    this.#totals.retries(retries);
    this.#refreshTotals(status);
  }

  #recordRevision(revision: number): void {
    this.#metrics.configurationRevision.set(revision);
    if (revision !== this.#lastRevision)
      this.#metrics.configurationAppliedSeconds.setToCurrentTime();
    this.#lastRevision = revision;
  }

  #refreshTotals({ backend, peers, ...status }: NodeStatus): void {
    const totals = this.#totals;
    totals.backendConnections(status.backendConnectionsOpened);
    totals.storeRequests(status.storeRequests);
    totals.primaryChanges(status.primaryChanges);
    totals.cancels(backend.cancelsSent);
    totals.notificationsDropped(backend.notificationsDropped);
    totals.protocolViolations(backend.protocolViolations);
    totals.foreignInstances(backend.foreignInstances);
    totals.linksOpened(peers.linksOpened);
    totals.linksLost(peers.linksLost);
    totals.foreignFleets(peers.foreignFleets);
    totals.framesDropped(peers.framesDropped);
    totals.framesMalformed(peers.framesMalformed);
    totals.bytesSent(peers.bytesSent);
    totals.bytesReceived(peers.bytesReceived);
  }

  #refreshGroup(status: GroupStatus): void {
    const { group } = status;
    this.#metrics.queueDepth.set({ group }, status.queued);
    this.#metrics.running.set({ group }, status.running);
    this.#metrics.groupTimeline.set({ group }, status.timeline);
    const totals = this.#groups.get(group) ?? groupTotals(this.#metrics, group);
    this.#groups.set(group, totals);
    totals.replicaReads(status.replicaReads);
    totals.primaryReads(status.primaryReads);
    totals.eligibleReplicaReads(status.eligibleReplicaReads);
    totals.confirmationsSent(status.confirmationsSent);
    totals.writesConfirmed(status.writesConfirmed);
  }
}

function groupTotals(metrics: NodeMetrics, group: string): GroupTotals {
  return {
    replicaReads: syncCounter(metrics.replicaReads, { group }),
    primaryReads: syncCounter(metrics.primaryReads, { group }),
    eligibleReplicaReads: syncCounter(metrics.eligibleReplicaReads, { group }),
    confirmationsSent: syncCounter(metrics.confirmationsSent, { group }),
    writesConfirmed: syncCounter(metrics.writesConfirmed, { group }),
  };
}

function nodeTotals(metrics: NodeMetrics) {
  return {
    retries: syncCounter(metrics.retries, {}),
    backendConnections: syncCounter(metrics.connectionsOpened, {}),
    storeRequests: syncCounter(metrics.storeRequests, {}),
    primaryChanges: syncCounter(metrics.primaryChanges, {}),
    cancels: syncCounter(metrics.cancelsSent, {}),
    notificationsDropped: syncCounter(metrics.notificationsDropped, {}),
    protocolViolations: syncCounter(metrics.protocolViolations, {}),
    foreignInstances: syncCounter(metrics.foreignInstances, {}),
    linksOpened: syncCounter(metrics.peerLinks, { event: 'opened' }),
    linksLost: syncCounter(metrics.peerLinks, { event: 'lost' }),
    foreignFleets: syncCounter(metrics.peerLinks, { event: 'foreign-fleet' }),
    framesDropped: syncCounter(metrics.peerFrames, { fault: 'dropped' }),
    framesMalformed: syncCounter(metrics.peerFrames, { fault: 'malformed' }),
    bytesSent: syncCounter(metrics.peerBytes, { direction: 'sent' }),
    bytesReceived: syncCounter(metrics.peerBytes, { direction: 'received' }),
  };
}
