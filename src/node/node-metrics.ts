/** Carries what a node does into its metrics: requests as they end, gauges before each scrape. */
import type { NodeMetrics, RequestRoute } from '../observability/metrics.js';
import type { EndedRequest } from './gateway/request-metrics.js';
import type { NodeStatus } from './node-status.js';

const MILLISECONDS_PER_SECOND = 1000;
const MEMBER_STATES = ['alive', 'suspect', 'leaving', 'dead'] as const;

export function recordRequest(metrics: NodeMetrics, request: EndedRequest): void {
  const { kind, outcome } = request;
  const route: RequestRoute = outcome === 'done' ? request.route : 'none';
  metrics.requests.inc({ outcome, kind, route });
  metrics.requestSeconds.observe({ kind, route }, request.elapsedMs / MILLISECONDS_PER_SECOND);
}

export function refreshGauges(metrics: NodeMetrics, status: NodeStatus): void {
  metrics.configurationRevision.set(status.configuration.revision);
  metrics.draining.set(status.state === 'leaving' ? 1 : 0);
  metrics.openConnections.set({ side: 'caller' }, status.callers);
  for (const state of MEMBER_STATES) {
    metrics.members.set(
      { state },
      status.members.filter((member) => member.status === state).length,
    );
  }
  for (const group of status.groups) {
    metrics.queueDepth.set({ group: group.group }, group.queued);
    metrics.running.set({ group: group.group }, group.running);
    metrics.groupTimeline.set({ group: group.group }, group.timeline);
  }
}
